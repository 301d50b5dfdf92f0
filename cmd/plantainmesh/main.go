// Command plantainmesh is the node daemon for machines whose platform provides a store
// and sends heartbeats.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/meshcmd"
	_ "github.com/plantainramp/plantainramp/internal/stopsignal/early" // before other packages
)

func main() { os.Exit(meshcmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
