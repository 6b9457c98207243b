package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/program"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

const (
	defaultDemoDuration = 10 * time.Second
	defaultDemoCallers  = 24
)

var settingsFlag = &cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file with the settings of the process"}

func entryCommand(errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry process, which serves callers",
		Description: stopHelp,
		Flags:       []cli.Flag{settingsFlag},
		Action: func(_ context.Context, command *cli.Command) error {
			return runProcess(command.String("settings"), settings.RoleEntry, program.NewEntry, errOut)
		},
	}
}

func agentCommand(errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run an agent process next to a backend server",
		Description: stopHelp,
		Flags:       []cli.Flag{settingsFlag},
		Action: func(_ context.Context, command *cli.Command) error {
			return runProcess(command.String("settings"), settings.RoleAgent, program.NewAgent, errOut)
		},
	}
}

const stopHelp = `The first SIGTERM or SIGINT starts a planned stop, which completes the calls in flight. The second
one ends the process immediately and logs the calls that it aborts.
` + exitHelp

// runProcess runs a process until its planned stop is complete. It does not use the command's context, since that ends
// at the first signal, which must only start the planned stop.
func runProcess(file string, role settings.Role, build func(program.Options) (*program.Process, error), errOut io.Writer) error {
	loaded, err := settings.Load(file, role)
	if err != nil {
		return fmt.Errorf("%s:\n%w", file, err)
	}
	keys, err := program.LoadKeys(loaded, role)
	if err != nil {
		return err
	}
	process, err := build(program.Options{Settings: loaded, Keys: keys, LogOutput: errOut})
	if err != nil {
		return err
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(callermem.CollectorShare * float64(loaded.MaxMemoryBytes())))
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		force := false
		for {
			select {
			case <-signals:
				process.Stop(force)
				force = true
			case <-ctx.Done():
				return
			}
		}
	}()
	reason, err := process.Run(ctx)
	if err == nil && reason == program.ReasonSuperseded {
		err = errSuperseded
	}
	return err
}

// errSuperseded makes the program exit with ExitFailed, so that the process manager starts the process again.
var errSuperseded = errors.New("a later incarnation of this VM's process exists; start the process again")
