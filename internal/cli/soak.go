package cli

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/soak"
)

// Defaults of the soak: some dozens of processes and a minute are what a working session has time for.
const (
	defaultSoakProcesses = 15
	defaultSoakMinutes   = 0.5
)

func soakCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the programs of the users' platform as processes of this machine, with faults, and check what must always hold",
		Description: "Prints the seed and the folder with the kept logs at the first thing that did not hold, and exits with 1. " +
			"It ends only processes that it started.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first soak"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of soaks, with seeds that follow each other"},
			&cli.FloatFlag{Name: "minutes", Value: defaultSoakMinutes, Usage: "length of the faults of one soak"},
			&cli.IntFlag{Name: "processes", Value: defaultSoakProcesses, Usage: "number of entries and agents together"},
			&cli.StringFlag{Name: "binary", Usage: "program to test; this one if it is left out"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			binary := command.String("binary")
			if binary == "" {
				executable, err := os.Executable()
				if err != nil {
					return err
				}
				binary = executable
			}
			return soak.Run(ctx, soak.Options{
				Binary: binary, Seed: command.Uint64("seed"), Seeds: command.Uint64("seeds"), Out: out,
				Duration: time.Duration(command.Float("minutes") * float64(time.Minute)), Processes: command.Int("processes"),
			})
		},
	}
}
