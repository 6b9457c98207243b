package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/demo"
)

func exampleCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "example",
		Usage:     "write settings, keys and configuration of an example, for separate processes on loopback",
		ArgsUsage: "DEPLOYMENT",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "directory for the files"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			deployment := command.Args().First()
			if deployment == "" {
				return usageError{errors.New("example: expected the name of a deployment, ndiaye or andina")}
			}
			if err := demo.Export(deployment, command.String("out")); err != nil {
				return err
			}
			fmt.Fprintln(out, "wrote the files of", deployment, "to", command.String("out"))
			return nil
		},
	}
}

func standinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "serve stand-ins of the platform and of the backend servers of an example on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Required: true, Usage: "directory that the example command wrote"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return demo.ServeStandins(ctx, command.String("example"))
		},
	}
}
