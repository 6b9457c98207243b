// Package entry is the process that callers reach: it takes their calls over HTTP, passes
// each to the agent that the control thread chose, and gives the whole answer back.
package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	shutdownTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be open without a call.
	idleTimeout = 2 * time.Minute
)

// Config sets an entry up.
type Config struct {
	Host        *node.Host
	Settings    settings.Callers
	Self        control.Self
	BalancerLag time.Duration
	// Network opens the socket for callers.
	Network network.Network
}

// Entry is the entry process.
type Entry struct {
	config        Config
	host          *node.Host
	machine       *control.Entry
	configuration atomic.Pointer[published.Configuration]
	listener      net.Listener
	server        *http.Server
	openCalls     atomic.Int64
	sequence      atomic.Uint64

	mu        sync.Mutex
	exchanges map[ident.Request]*exchange
	inquiries map[ident.Request]chan attempt.KeyAnswer
}

// New returns an entry that listens for callers but does not serve yet.
func New(config Config) (*Entry, error) {
	listener, err := config.Network.Listen(config.Settings.Address)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		config:    config,
		host:      config.Host,
		listener:  listener,
		exchanges: map[ident.Request]*exchange{},
		inquiries: map[ident.Request]chan attempt.KeyAnswer{},
	}
	e.server = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: e.readTimeout(),
		MaxHeaderBytes:    config.Settings.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return e, nil
}

func (e *Entry) readTimeout() time.Duration {
	return time.Duration(e.config.Settings.ReadTimeoutMS) * time.Millisecond
}

func (e *Entry) writeTimeout() time.Duration {
	return time.Duration(e.config.Settings.WriteTimeoutMS) * time.Millisecond
}

// Address returns the IP address and TCP port that callers reach.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Run runs the entry until it has drained or the context ends, and returns why it ended.
func (e *Entry) Run(ctx context.Context) (string, error) {
	machine, first, err := control.NewEntry(time.Now(), control.EntryConfig{Self: e.config.Self, BalancerLag: e.config.BalancerLag})
	if err != nil {
		return "", err
	}
	e.machine = machine
	return e.host.Run(ctx, machine, e, first), nil
}

// Inspector gives operators a look at the control state.
func (e *Entry) Inspector() node.Inspector {
	return e.machine
}

// Start begins to serve callers.
func (e *Entry) Start() {
	e.host.Spawn(func(context.Context) { _ = e.server.Serve(e.listener) })
	e.host.Spawn(func(ctx context.Context) {
		<-ctx.Done()
		ended, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if e.server.Shutdown(ended) != nil {
			_ = e.server.Close()
		}
	})
}

// UseConfiguration publishes a configuration to the calls that come from now on.
func (e *Entry) UseConfiguration(configuration *published.Configuration) {
	e.configuration.Store(configuration)
}

// SetReady takes note of the readiness, which the host keeps.
func (e *Entry) SetReady(bool) {}

// ServeCall refuses call streams: nobody calls an entry.
func (e *Entry) ServeCall(_ wire.Identity, call *wire.Call) {
	call.Abort()
}

// Execute carries out an action of the control thread.
func (e *Entry) Execute(action control.Action) {
	switch action := action.(type) {
	case control.OpenAttempt:
		e.instruct(action.Dispatch.ID.Request, action)
	case control.ResumeAttempt:
		e.instruct(action.Resume.ID.Request, action)
	case control.FinishCall:
		e.instruct(action.Request, action)
	case control.KeyAnswered:
		e.answerInquiry(action.Answer)
	}
}

func (e *Entry) instruct(request ident.Request, instruction control.Action) {
	e.mu.Lock()
	exchange := e.exchanges[request]
	e.mu.Unlock()
	if exchange != nil {
		exchange.instruct(instruction)
	}
}

func (e *Entry) answerInquiry(answer attempt.KeyAnswer) {
	e.mu.Lock()
	waiting := e.inquiries[answer.Request]
	e.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- answer:
	default:
	}
}

// newRequest returns an identifier that no other call of the fleet has.
func (e *Entry) newRequest() ident.Request {
	number := strconv.FormatUint(e.sequence.Add(1), 36)
	incarnation := strconv.FormatUint(uint64(e.config.Self.Instance.Incarnation), 36)
	return ident.Request(string(e.config.Self.Instance.VM) + "-" + incarnation + "-" + number)
}

// open registers an exchange.
func (e *Entry) open(exchange *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[exchange.id] = exchange
}

func (e *Entry) close(exchange *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanges, exchange.id)
}
