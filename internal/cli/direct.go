package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bramleyspool/bramleyspool/internal/gateway"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/rankagent"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/platform"
)

const (
	// logLinesPerSecond bounds the log: an entry serves some ten calls a second, one line each.
	logLinesPerSecond = 100
	// memoryLimitShare is the part of the machine's memory at which the garbage collector works harder.
	memoryLimitShare = 0.6
	// settingsPollInterval is how often the settings file is compared with what is in force: it may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// directProcess is a program of a deployment on the users' platform.
type directProcess interface {
	Run(ctx context.Context, stop <-chan struct{}) error
}

func platformCommand(out io.Writer) *cli.Command {
	metricsFlag := &cli.IntFlag{Name: "metrics-port", Usage: "TCP port of the metrics page on the machine's address; 0 serves none"}
	roleCommand := func(name, usage string, role settings.Role) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, Description: stopHelp, Flags: []cli.Flag{metricsFlag},
			Action: func(_ context.Context, command *cli.Command) error {
				return runDirect(out, role, command.Int("metrics-port"))
			},
		}
	}
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, with its settings file named by " + platform.SettingsVariable,
		Commands: []*cli.Command{
			roleCommand("entry", "serve callers on a front machine", settings.RoleEntry),
			roleCommand("agent", "stay beside the engine of a side machine", settings.RoleAgent),
			{
				Name: "check", Usage: "check the settings file of a role: entry or agent", ArgsUsage: "ROLE",
				Action: func(_ context.Context, command *cli.Command) error {
					_, err := platform.LoadSettings(settings.Role(command.Args().First()))
					return err
				},
			},
		},
	}
}

// runDirect runs a program until its planned stop ends.
func runDirect(out io.Writer, role settings.Role, metricsPort int) error {
	loaded, err := platform.LoadSettings(role)
	if err != nil {
		return err
	}
	if loaded.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(loaded.MemoryLimit)))
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
		metricsServer := &http.Server{Addr: net.JoinHostPort(loaded.IP, fmt.Sprint(metricsPort)), Handler: metrics.Page, ReadHeaderTimeout: time.Second}
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
	return process.Run(ctx, stopSignals(ctx, cancel, role, loaded, log))
}

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

// stopSignals returns a channel that closes with the first signal to stop; the second one cancels. It reports
// changes of the settings file. All settings in use are addresses and bounds that hold for a process's life.
func stopSignals(ctx context.Context, cancel context.CancelFunc, role settings.Role, loaded settings.Direct, log *logrus.Entry) <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		stopping := false
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-poll.C:
				loaded = reloadSettings(role, loaded, log)
			case received := <-signals:
				switch {
				case received == syscall.SIGHUP:
					loaded = reloadSettings(role, loaded, log)
				case stopping:
					log.Warn("stop-forced")
					cancel()
				default:
					stopping = true
					close(stop)
				}
			}
		}
	}()
	return stop
}

// reloadSettings reads the settings again and reports what became of a change.
func reloadSettings(role settings.Role, loaded settings.Direct, log *logrus.Entry) settings.Direct {
	next, err := platform.LoadSettings(role)
	switch {
	case err != nil:
		log.WithError(err).Warn("settings-refused")
		return loaded
	case next != loaded:
		log.Info("settings-changed")
	}
	return next
}
