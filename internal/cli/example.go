package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/demo"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

func exampleCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "example",
		Usage:     "write the settings, keys and configuration of an example deployment whose processes run on loopback",
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

func splitCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "split",
		Usage:     "split a configuration into parts for the layout \"parts\", one file per key",
		ArgsUsage: "CONFIGURATION",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "directory for the files"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			return splitFile(out, command.Args().First(), command.String("out"))
		},
	}
}

// splitFile writes one file for each part of a configuration, and the manifest last.
func splitFile(out io.Writer, file, directory string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	parts, err := published.Split(data)
	if err != nil {
		return err
	}
	for _, part := range append(parts.Parts, published.Part{Key: published.Key, Body: parts.Manifest}) {
		name := filepath.Join(directory, part.Key)
		if err := os.WriteFile(name, part.Body, partFileMode); err != nil {
			return err
		}
		fmt.Fprintln(out, name)
	}
	return nil
}

// partFileMode is the permission mode of the written files.
const partFileMode = 0o644

func standinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "serve stand-ins for the platform and the backend servers of an example on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Required: true, Usage: "directory that the command example has written"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return demo.ServeStandins(ctx, command.String("example"))
		},
	}
}
