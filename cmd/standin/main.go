// Command standin runs the stand-ins of tests and the demo.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/standincmd"
)

func main() { os.Exit(standincmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
