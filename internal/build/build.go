// Package build holds build information.
package build

// Version is the version of all programs.
const Version = "0.1.0"
