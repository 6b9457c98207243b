package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/gateway"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/rankagent"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/platform"
)

const (
	// logLinesPerSecond limits the log output. An entry serves about ten calls per second and logs one line for each.
	logLinesPerSecond = 100
	// settingsPollInterval is how often the settings file is read again, since it can change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// signalBuffer is the number of signals that are kept until they are handled.
	signalBuffer = 4
)

// directProcess is an entry or agent process of a deployment on the users' platform (package platform at the top of
// the module), where entries send requests directly to backend servers (settings.Direct).
type directProcess interface {
	Run(ctx context.Context, stop <-chan struct{}) error
}

const directStopHelp = `The first SIGTERM or SIGINT starts a planned stop, which completes the calls in flight. Further SIGTERMs
change nothing, since the platform may send several and has SIGKILL for a forced stop. A second SIGINT ends the process immediately.`

func platformCommand(out io.Writer) *cli.Command {
	metricsFlag := &cli.IntFlag{Name: "metrics-port", Usage: "TCP port of the metrics page on the VM's IP address; 0 disables it"}
	roleCommand := func(name, usage string, role settings.Role) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, Description: directStopHelp, Flags: []cli.Flag{metricsFlag},
			Action: func(_ context.Context, command *cli.Command) error {
				return runDirect(out, role, command.Int("metrics-port"))
			},
		}
	}
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform; the environment variable with the name of the settings file is " + platform.SettingsVariable,
		Commands: []*cli.Command{
			roleCommand("entry", "serve callers on the VM of an entry", settings.RoleEntry),
			roleCommand("agent", "run next to the engine on the VM of a backend server", settings.RoleAgent),
			{
				Name: "check", Usage: "validate the settings file of a role: entry or agent", ArgsUsage: "ROLE",
				Action: func(_ context.Context, command *cli.Command) error {
					_, err := platform.LoadSettings(settings.Role(command.Args().First()))
					return err
				},
			},
		},
	}
}

// runDirect runs a process until its planned stop is complete. Like runProcess, it does not use the command's context.
func runDirect(out io.Writer, role settings.Role, metricsPort int) error {
	// A SIGHUP before this ends the process.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	loaded, err := platform.LoadSettings(role)
	if err != nil {
		return err
	}
	if loaded.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(callermem.CollectorShare * float64(loaded.MemoryLimit)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := node.NewLimitedWriter(out, logLinesPerSecond)
	logFlushed := make(chan struct{})
	logContext, stopLog := context.WithCancel(context.Background())
	go func() { writer.Run(logContext); close(logFlushed) }()
	defer func() { stopLog(); <-logFlushed }()
	log, err := node.NewLogger(writer, settings.DefaultLogLevel, string(loaded.VM), string(role))
	if err != nil {
		return err
	}
	metrics := node.NewMetrics(string(role))
	defer metrics.Close()
	if metricsPort > 0 {
		metricsServer := &http.Server{Addr: net.JoinHostPort(loaded.IP, fmt.Sprint(metricsPort)), Handler: metrics.Handler, ReadHeaderTimeout: time.Second}
		go func() {
			if err := metricsServer.ListenAndServe(); err != http.ErrServerClosed {
				log.WithError(err).Warn("metrics-unavailable")
			}
		}()
		defer func() {
			if err := metricsServer.Close(); err != nil {
				log.WithError(err).Warn("metrics-not-closed")
			}
		}()
	}
	process := buildDirect(role, loaded, log, metrics)
	reload := func() { loaded = reloadSettings(role, loaded, log) }
	return process.Run(ctx, watchSignals(ctx, cancel, signals, reload, log))
}

// buildDirect builds a process from package gateway or rankagent. Packages entry and agent are for the other kind of
// deployment, where requests reach backend servers only through agents.
func buildDirect(role settings.Role, loaded settings.Direct, log *logrus.Entry, metrics *node.Metrics) directProcess {
	report := func(key string, err error) {
		log.WithError(err).WithField("key", key).Warn("store-item-ignored")
	}
	store := platform.NewStore(loaded.StoreAddress, report)
	if role == settings.RoleEntry {
		return gateway.New(gateway.Config{Settings: loaded, Headers: platform.Headers, Store: store, Log: log, Metrics: metrics})
	}
	dial := func(address string) rankagent.Engine { return platform.NewEngine(address) }
	return rankagent.New(rankagent.Config{Settings: loaded, Store: store, Dial: dial, Log: log, Metrics: metrics})
}

// watchSignals returns a channel that is closed by the first SIGTERM or SIGINT. A later SIGINT calls cancel; a later SIGTERM changes
// nothing. It also calls reload on SIGHUP and periodically, which logs changes of the settings. None is applied, since all settings
// are addresses and bounds that are fixed for the lifetime of a process.
func watchSignals(ctx context.Context, cancel context.CancelFunc, signals <-chan os.Signal, reload func(), log *logrus.Entry) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		stopping := false
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-poll.C:
				reload()
			case received := <-signals:
				switch {
				case received == syscall.SIGHUP:
					reload()
				case !stopping:
					stopping = true
					close(stop)
				case received == os.Interrupt:
					log.Warn("stop-forced")
					cancel()
				default:
					log.WithField("signal", received).Info("stop-already-began")
				}
			}
		}
	}()
	return stop
}

// reloadSettings reads the settings again and logs whether they have changed or are invalid. A change takes effect only
// when the process is restarted. It returns the last valid settings.
func reloadSettings(role settings.Role, loaded settings.Direct, log *logrus.Entry) settings.Direct {
	next, err := platform.LoadSettings(role)
	switch {
	case err != nil:
		log.WithError(err).Warn("settings-refused")
		return loaded
	case !reflect.DeepEqual(next, loaded):
		log.Info("settings-changed")
	}
	return next
}
