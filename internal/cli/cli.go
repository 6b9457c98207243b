// Package cli implements the command line of bramleyspool.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/demo"
	"github.com/bramleyspool/bramleyspool/internal/fault"
)

// Version is the version of the program. Release builds set it with the linker flag -X.
var Version = "development"

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed means that the command failed, or that a check of an invariant failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitFaults means that settings or a configuration are invalid.
	ExitFaults = 3
)

const exitHelp = `Exit codes: 0 success; 1 the command or the check of an invariant failed;
2 invalid command line; 3 invalid settings or configuration.`

// Run runs the command that args name, with the program's name in args[0], and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:        "bramleyspool",
		Usage:       "load balancer for expert-parallel model groups",
		Description: exitHelp,
		Writer:      out,
		ErrWriter:   errOut,
		Commands: []*cli.Command{
			entryCommand(errOut), agentCommand(errOut), platformCommand(out), checkCommand(out), statusCommand(out),
			timelineCommand(out), demoCommand(out, errOut), experimentCommand(out, errOut), keysCommand(out),
			exampleCommand(out), splitCommand(out), standinsCommand(), soakCommand(out), versionCommand(out),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   reportUsage,
	}
	for _, command := range root.Commands {
		command.OnUsageError = reportUsage
	}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "bramleyspool:", err)
	return exitCode(err)
}

// reportUsage turns an error of the flag parser into a usageError.
func reportUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err}
}

// usageError means that the command line is invalid; the exit code is ExitUsage.
type usageError struct{ error }

func exitCode(err error) int {
	var usage usageError
	var faults fault.List
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &faults):
		return ExitFaults
	default:
		return ExitFailed
	}
}

func versionCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Fprintln(out, Version)
			return nil
		},
	}
}

func demoCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "demo",
		Usage:     "run a whole deployment on loopback in this process and check each answer",
		ArgsUsage: "DEPLOYMENT",
		Description: "DEPLOYMENT is ndiaye or andina. The command fails if an invariant is violated.\n" +
			exitHelp,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "faults", Usage: "inject faults: stop processes, drop the packets of connections, crash a backend server, stop the configuration service"},
			&cli.DurationFlag{Name: "duration", Value: defaultDemoDuration, Usage: "duration for which callers send requests"},
			&cli.IntFlag{Name: "callers", Value: defaultDemoCallers, Usage: "number of concurrent callers; each sends one request at a time"},
			&cli.BoolFlag{Name: "parts", Usage: "publish the configuration in parts"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed for requests and faults"},
			&cli.StringFlag{Name: "log", Usage: "print the processes' log lines of at least this level to standard error: warning, info or debug"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			deployment := command.Args().First()
			if deployment == "" {
				return usageError{errors.New("demo: expected the name of a deployment, ndiaye or andina")}
			}
			log := io.Discard
			if command.String("log") != "" {
				log = errOut
			}
			return demo.Run(ctx, demo.Options{
				Deployment: deployment,
				Duration:   command.Duration("duration"),
				Callers:    command.Int("callers"),
				Faults:     command.Bool("faults"),
				Parts:      command.Bool("parts"),
				Seed:       command.Uint64("seed"),
				Out:        out,
				Log:        log,
				LogLevel:   command.String("log"),
			})
		},
	}
}
