// Package build holds what is known of the build.
package build

// Version of all programs.
const Version = "0.1.0"
