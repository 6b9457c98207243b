// Package program builds entry and agent processes from their settings.
package program

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/agent"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/entry"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/template"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	// incarnationRandomBits is the number of low bits of an incarnation that are random.
	incarnationRandomBits = 20
)

// ReasonSuperseded is returned by Run if another process knows an incarnation of this VM's process with a greater number.
// That is the case if a newer process runs on the VM, or if the clock was set back before this one started. The process
// manager must start the process again, so that it gets a new number from the clock.
const ReasonSuperseded = control.ReasonSuperseded

// Options configures a process.
type Options struct {
	Settings *settings.Settings
	Keys     *wire.Keys
	// LogOutput receives the log lines.
	LogOutput io.Writer
	// Network opens sockets; the zero value uses package net.
	Network network.Network
	// WrapSocket wraps the UDP socket, for fault injection; nil leaves it as it is.
	WrapSocket func(net.PacketConn) net.PacketConn
}

// Process is an entry or agent process. Run can be called once.
type Process struct {
	Self    ident.Instance
	host    *node.Host
	admin   *node.Admin
	metrics *node.Metrics
	log     *logrus.Entry
	run     func(ctx context.Context) (string, error)
	// callers is the address of an entry's listener for callers; "" for an agent.
	callers string
	inspect func() node.Inspector
}

// NewIncarnation returns a unique incarnation: the time in milliseconds since the Unix epoch, followed by random bits that
// distinguish starts in the same millisecond.
func NewIncarnation(now time.Time) ident.Incarnation {
	var random [4]byte
	_, _ = rand.Read(random[:])
	low := binary.BigEndian.Uint32(random[:]) & (1<<incarnationRandomBits - 1)
	return ident.Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | uint64(low))
}

// LoadKeys reads the key files of the settings. It returns an error if the certificate's role, zone or VM differs from the
// settings.
func LoadKeys(s *settings.Settings, role settings.Role) (*wire.Keys, error) {
	pair, err := wire.LoadKeyPair(s.Keys.Certificate, s.Keys.PrivateKey, s.Keys.Authority)
	if err != nil {
		return nil, err
	}
	keys, err := wire.NewKeys(pair)
	if err != nil {
		return nil, err
	}
	expected := wire.Identity{Role: string(role), Zone: s.Zone, VM: s.VM}
	if keys.Identity() != expected {
		return nil, fmt.Errorf("certificate %s: expected the identity %s, found %s", s.Keys.Certificate, expected.URL(), keys.Identity().URL())
	}
	return keys, nil
}

// newProcess builds the parts that entries and agents have in common.
func newProcess(options Options, role settings.Role) (*Process, control.Self, error) {
	s := options.Settings
	log, err := node.NewLogger(options.LogOutput, s.Log.Level, string(s.VM), string(role))
	if err != nil {
		return nil, control.Self{}, err
	}
	instance := ident.Instance{VM: s.VM, Incarnation: NewIncarnation(time.Now())}
	self := control.Self{Instance: instance, Zone: s.Zone, Region: s.Region}
	if s.Platform.ConfigurationLayout == settings.LayoutParts {
		self.Layout = membership.ManifestOfParts
	}
	for _, seed := range s.Peer.Seeds {
		self.Seeds = append(self.Seeds, membership.Peer{VM: seed.VM, Zone: seed.Zone})
	}
	metrics := node.NewMetrics(string(role))
	host, err := node.NewHost(node.Config{
		Settings: s,
		Role:     role,
		Self:     instance,
		Keys:     options.Keys,
		Log:      log,
		Metrics:  metrics,
		// A wait of 0 means platform.DefaultWatchWait.
		Service:    platform.NewConfigClient(platform.Options{BaseURL: s.Platform.Configuration, Dial: options.Network.DialTCP}, 0),
		VMs:        platform.NewVMListClient(platform.Options{BaseURL: s.Platform.VMs, Dial: options.Network.DialTCP}),
		Network:    options.Network,
		WrapSocket: options.WrapSocket,
	})
	if err != nil {
		metrics.Close()
		return nil, self, oops.With("vm", s.VM).Wrapf(err, "open the interface for peers")
	}
	admin, err := node.NewAdmin(host, s.Admin.Address, s.Admin.CredentialSHA256)
	if err != nil {
		host.Close()
		metrics.Close()
		return nil, self, oops.With("vm", s.VM).Wrapf(err, "open the interface for operators")
	}
	return &Process{Self: instance, host: host, admin: admin, metrics: metrics, log: log}, self, nil
}

// NewEntry builds an entry process. Its listeners are open when NewEntry returns.
func NewEntry(options Options) (*Process, error) {
	process, self, err := newProcess(options, settings.RoleEntry)
	if err != nil {
		return nil, err
	}
	built, err := entry.New(entry.Config{
		Host:        process.host,
		Settings:    *options.Settings.Callers,
		Self:        self,
		BalancerLag: options.Settings.BalancerLag(),
		Network:     options.Network,
	})
	if err != nil {
		process.close()
		return nil, oops.With("vm", options.Settings.VM).Wrapf(err, "open the interface for callers")
	}
	process.callers = built.Address()
	process.run = built.Run
	process.inspect = built.Inspector
	return process, nil
}

// NewAgent builds an agent process. Its listeners are open when NewAgent returns.
func NewAgent(options Options) (*Process, error) {
	process, self, err := newProcess(options, settings.RoleAgent)
	if err != nil {
		return nil, err
	}
	backend := *options.Settings.Backend
	credential, err := readCredential(backend.CredentialFile)
	if err != nil {
		process.close()
		return nil, err
	}
	client := platform.Options{
		BaseURL:        backend.URL,
		Credential:     credential,
		Timeout:        time.Duration(backend.CallTimeoutMS) * time.Millisecond,
		MaxAnswerBytes: int64(backend.MaxAnswerBytes),
		Dial:           options.Network.DialTCP,
	}
	self.Group.OrderLifetime = time.Duration(backend.OrderLifetimeMS) * time.Millisecond
	config := agent.Config{Host: process.host, Settings: backend, Self: self, Network: options.Network}
	if backend.Kind == template.KindModel {
		config.Engine = platform.NewEngineClient(client)
	} else {
		config.Plain = platform.NewPlainClient(client)
	}
	built := agent.New(config)
	process.run = built.Run
	process.inspect = built.Inspector
	return process, nil
}

func readCredential(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("credential: %w", err)
	}
	return string(bytes.TrimSpace(data)), nil
}

func (p *Process) close() {
	p.host.Close()
	p.metrics.Close()
}

// Run runs the process until a planned stop is complete or the context ends. It returns the reason of the end.
func (p *Process) Run(ctx context.Context) (string, error) {
	defer p.metrics.Close()
	p.log.WithFields(logrus.Fields{
		"incarnation": fmt.Sprintf("%x", uint64(p.Self.Incarnation)),
		"peer":        p.host.Transport().Address(),
		"admin":       p.admin.Address(),
		"callers":     p.callers,
	}).Info("process-started")
	p.host.Spawn(func(ctx context.Context) { p.admin.Serve(ctx, p.inspect) })
	reason, err := p.run(ctx)
	p.log.WithField("reason", reason).Info("process-ended")
	return reason, err
}

// Stop starts a planned stop, which completes the calls in flight. With force, the process ends without waiting for them.
func (p *Process) Stop(force bool) {
	p.host.Stop(force)
}

// CallersAddress returns the IP address and TCP port of the listener for callers; "" for an agent.
func (p *Process) CallersAddress() string {
	return p.callers
}

// PeerAddress returns the IP address and UDP port of the socket for other processes of the system.
func (p *Process) PeerAddress() string {
	return p.host.Transport().Address()
}

// AdminAddress returns the IP address and TCP port of the listener for operators.
func (p *Process) AdminAddress() string {
	return p.admin.Address()
}

// Ready reports whether the process accepts calls.
func (p *Process) Ready() bool {
	return p.host.Ready()
}

// Host returns the process's host, for tests and demos that run several processes in one.
func (p *Process) Host() *node.Host {
	return p.host
}

// VersionInForce returns the version of the configuration in force, and false if ctx or the process ends first.
func (p *Process) VersionInForce(ctx context.Context) (template.Version, bool) {
	var version template.Version
	ok := p.host.Inspect(ctx, func() { version = p.inspect().ConfigStatus().InForce.Version })
	return version, ok
}

// Group returns the status of an agent's model group. It returns nil if the agent is in no group, or if ctx or the
// process ends first.
func (p *Process) Group(ctx context.Context) *control.GroupStatus {
	var status *control.GroupStatus
	p.host.Inspect(ctx, func() {
		if inspector, inGroup := p.inspect().(node.GroupInspector); inGroup {
			status = inspector.Group()
		}
	})
	return status
}

// Account returns the overload account of an entry: its numbers of served, not run and unknown requests by customer and
// class, with the causes and the causing customers. It returns false for an agent, or if ctx or the process ends first.
func (p *Process) Account(ctx context.Context) ([]admission.AccountEntry, bool) {
	var entries []admission.AccountEntry
	found := false
	ok := p.host.Inspect(ctx, func() {
		if inspector, isEntry := p.inspect().(node.EntryInspector); isEntry {
			entries, found = inspector.Account(), true
		}
	})
	return entries, ok && found
}
