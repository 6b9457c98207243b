// Command bramleyspool is a load balancer for groups of expert-parallel model ranks.
package main

import (
	"os"

	"github.com/bramleyspool/bramleyspool/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args, os.Stdout, os.Stderr))
}
