// Command standin runs the simulated platform services and upstreams that tests and the
// demo use.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/standincmd"
)

func main() { os.Exit(standincmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
