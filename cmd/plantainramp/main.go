// Command plantainramp is the command line for operators.
package main

import (
	"os"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/cmd/root"
)

func main() { os.Exit(root.Main(os.Args[1:], iostreams.System())) }
