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

// vm is a VM of the demonstration. It runs an entry, or an agent and the stand-in of its
// backend server.
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

// build builds a new process. It listens on its addresses but does not run yet.
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

// kill ends the process as a crash of its VM does: no peer receives a message about it.
func (v *vm) kill() {
	v.mu.Lock()
	socket, cancel, ended := v.socket, v.cancel, v.ended
	v.mu.Unlock()
	socket.DropAll()
	cancel()
	<-ended
}

// stop requests a planned stop. It reports whether the process drained within stopTimeout.
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

// blackholeConnections drops all further packets that the process sends on its present
// connections.
func (v *vm) blackholeConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.socket.BlackholeConnections()
}

// runs returns the runs that the backend server recorded; nil for an entry.
func (v *vm) runs() []standin.Run {
	switch {
	case v.engine != nil:
		return v.engine.Runs()
	case v.plain != nil:
		return v.plain.Runs()
	}
	return nil
}

// server is the HTTP server of a stand-in on loopback.
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
