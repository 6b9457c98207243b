package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/program"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/standin"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const stopTimeout = 30 * time.Second

// vm is one VM of the demonstration: a process of the system and, beside an agent, a
// stand-in of its backend server.
type vm struct {
	name     ident.VM
	role     settings.Role
	settings *settings.Settings
	keys     *wire.Keys
	log      io.Writer
	network  network.Network
	engine   *standin.Engine
	plain    *standin.Plain

	mu      sync.Mutex
	socket  *faultySocket
	process *program.Process
	cancel  context.CancelFunc
	ended   chan struct{}
}

// build makes a new process, which listens but does not run yet.
func (v *vm) build() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	options := program.Options{Settings: v.settings, Keys: v.keys, LogOutput: v.log, Network: v.network}
	options.WrapSocket = func(inner net.PacketConn) net.PacketConn {
		v.socket = newFaultySocket(inner)
		return v.socket
	}
	build := program.NewEntry
	if v.role == settings.RoleAgent {
		build = program.NewAgent
	}
	process, err := build(options)
	if err != nil {
		return fmt.Errorf("VM %s: %w", v.name, err)
	}
	v.process = process
	v.settings.Peer.Address = process.PeerAddress()
	v.settings.Admin.Address = process.AdminAddress()
	if v.settings.Callers != nil {
		v.settings.Callers.Address = process.CallersAddress()
	}
	return nil
}

// start runs the process.
func (v *vm) start(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ctx, v.cancel = context.WithCancel(ctx)
	ended := make(chan struct{})
	v.ended = ended
	process := v.process
	go func() {
		defer close(ended)
		_, _ = process.Run(ctx)
	}()
}

func (v *vm) current() *program.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// kill ends the process as a crash of its VM would: nobody is told.
func (v *vm) kill() {
	v.mu.Lock()
	socket, cancel, ended := v.socket, v.cancel, v.ended
	v.mu.Unlock()
	socket.Mute()
	cancel()
	<-ended
}

// stop asks for a planned stop and reports whether the process drained in time.
func (v *vm) stop() bool {
	v.mu.Lock()
	process, ended := v.process, v.ended
	v.mu.Unlock()
	process.Stop(false)
	select {
	case <-ended:
		return true
	case <-time.After(stopTimeout):
		return false
	}
}

// silence makes the process's present connections lose what it sends.
func (v *vm) silence() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.socket.SilenceConnections()
}

// runs returns what the backend server truly ran.
func (v *vm) runs() []standin.Run {
	switch {
	case v.engine != nil:
		return v.engine.Runs()
	case v.plain != nil:
		return v.plain.Runs()
	}
	return nil
}

// server is an HTTP server of a stand-in on loopback.
type server struct {
	http     *http.Server
	listener net.Listener
}

func serve(sockets network.Network, handler http.Handler) (*server, error) {
	listener, err := sockets.Listen(loopback)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}, listener: listener}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) url() string {
	return "http://" + s.listener.Addr().String()
}

func (s *server) close() {
	_ = s.http.Close()
}
