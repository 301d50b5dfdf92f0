// Command plantainnode is the node daemon.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/nodecmd"
)

func main() { os.Exit(nodecmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
