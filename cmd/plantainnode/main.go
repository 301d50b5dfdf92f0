// Command plantainnode is the daemon that runs one node.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/nodecmd"
)

func main() { os.Exit(nodecmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
