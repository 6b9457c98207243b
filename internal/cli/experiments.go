package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/experiment/calls"
	"github.com/bramleyspool/bramleyspool/internal/experiment/fanout"
	"github.com/bramleyspool/bramleyspool/internal/experiment/groups"
	"github.com/bramleyspool/bramleyspool/internal/experiment/output"
	"github.com/bramleyspool/bramleyspool/internal/experiment/overload"
	"github.com/bramleyspool/bramleyspool/internal/experiment/routes"
)

const (
	defaultSeeds        = 10
	defaultOutDirectory = "out"
)

// experiments returns all experiments, sorted by name.
func experiments() []experiment.Experiment {
	var all []experiment.Experiment
	all = append(all, calls.Experiments...)
	all = append(all, fanout.All()...)
	all = append(all, groups.Experiments...)
	all = append(all, overload.Experiments...)
	all = append(all, routes.All()...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func experimentCommand(out, errOut io.Writer) *cli.Command {
	var names strings.Builder
	for _, known := range experiments() {
		fmt.Fprintf(&names, "%-16s %s\n", known.Name, known.Summary)
	}
	return &cli.Command{
		Name:        "experiment",
		Usage:       "run an experiment on the decision packages, print its tables and write CSV and PNG files",
		ArgsUsage:   "NAME",
		Description: "Names:\n" + names.String(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "number of consecutive seeds"},
			&cli.StringFlag{Name: "out", Value: defaultOutDirectory, Usage: "directory for CSV and PNG files"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			params := experiment.Params{
				Seed:     command.Uint64("seed"),
				Seeds:    command.Int("seeds"),
				Progress: func(done, total int) { fmt.Fprintf(errOut, "\r%d of %d", done, total) },
			}
			return runExperiment(ctx, command.Args().First(), params, command.String("out"), out, errOut)
		},
	}
}

func runExperiment(ctx context.Context, name string, params experiment.Params, directory string, out, errOut io.Writer) error {
	if params.Seeds < 1 {
		return usageError{errors.New("experiment: expected at least one seed")}
	}
	for _, known := range experiments() {
		if known.Name != name {
			continue
		}
		result, err := known.Run(ctx, params)
		fmt.Fprintln(errOut)
		if err != nil {
			return err
		}
		if err := output.Print(out, result); err != nil {
			return err
		}
		files, err := output.Write(directory, name, result)
		for _, file := range files {
			fmt.Fprintln(out, "wrote", file)
		}
		return err
	}
	return usageError{fmt.Errorf("experiment: expected the name of an experiment, found %q", name)}
}
