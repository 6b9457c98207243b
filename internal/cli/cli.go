// Package cli is the command line of bramleyspool.
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

// Version is the version of the program; releases set it when they are linked.
var Version = "development"

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed means that the command did not do what it was asked for.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitFaults means that settings or a configuration have faults.
	ExitFaults = 3
)

const exitHelp = `Exit codes: 0 success; 1 the command failed, or something that must always hold did not;
2 the command line is wrong; 3 settings or a configuration have faults.`

// Run runs the command line and returns the exit code.
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

// reportUsage marks a fault of the command line.
func reportUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err}
}

// usageError is a fault of the command line.
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
		Usage:     "run a whole deployment on loopback in this process and check every answer",
		ArgsUsage: "DEPLOYMENT",
		Description: "DEPLOYMENT is ndiaye or andina. The command fails if something that must always hold does not.\n" +
			exitHelp,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "faults", Usage: "stop processes, silence connections, crash a backend server, take the configuration service away"},
			&cli.DurationFlag{Name: "duration", Value: defaultDemoDuration, Usage: "how long callers send requests"},
			&cli.IntFlag{Name: "callers", Value: defaultDemoCallers, Usage: "number of callers that send one request after the other"},
			&cli.BoolFlag{Name: "parts", Usage: "publish the configuration in parts"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of requests and faults"},
			&cli.StringFlag{Name: "log", Usage: "print the processes' log lines of this level on standard error: warning, info or debug"},
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
