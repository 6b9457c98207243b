// Package entry implements the process that callers reach. It accepts calls over HTTP, dispatches
// each to the agents that the control thread selects, and writes one answer to the caller.
//
// A run key identifies a request that is not idempotent, so that it runs at most once. It is made of the customer, the
// service, and the caller's idempotency key or else the body fields that the template names.
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
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	// shutdownTimeout bounds the time in which a drained entry refuses requests on open connections until it has closed these.
	shutdownTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// evictionReportInterval is the interval at which closed connections are logged.
	evictionReportInterval = time.Second
)

// Config configures an entry.
type Config struct {
	Host     *node.Host
	Settings settings.Callers
	Self     control.Self
	// BalancerLag is how long the load balancer in front of the entries may still send calls
	// after a planned stop began.
	BalancerLag time.Duration
	// Network opens the listening socket for callers.
	Network network.Network
}

// Entry is the entry process. It implements node.Role.
type Entry struct {
	config        Config
	host          *node.Host
	machine       *control.Entry
	configuration atomic.Pointer[published.Configuration]
	listener      net.Listener
	server        *http.Server
	connections   *callerconn.Table
	memory        *callermem.Account
	openCalls     atomic.Int64
	// leaving is true once a planned stop has begun.
	leaving atomic.Bool
	// sequence is the number of the last request ID.
	sequence atomic.Uint64

	mu        sync.Mutex
	exchanges map[ident.Request]*exchange
	// inquiries holds the channels of the open inquiries about run keys.
	inquiries map[ident.Request]chan attempt.KeyAnswer
}

// New returns an entry that listens for callers. Start starts to serve them.
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
	memoryLimit := config.Settings.MaxMemoryBytes
	e.memory = callermem.NewAccount(memoryLimit)
	e.connections = callerconn.NewTable(callerconn.Config{
		MaxConnections: callermem.MaxConnections(memoryLimit, callermem.Descriptors(0)),
		Memory:         e.memory,
		Refusal:        connectionRefusal(),
		OnDropped:      func(*callerconn.Conn) { e.host.Count("requests_dropped", "") },
	})
	e.server = &http.Server{
		Handler:           e.trackRequests(e.routes()),
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

// Address returns the IP address and TCP port that the entry listens on for callers.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Run runs the entry until it has drained or the context ends. It returns the reason for its end.
func (e *Entry) Run(ctx context.Context) (string, error) {
	machine, first, err := control.NewEntry(time.Now(), control.EntryConfig{Self: e.config.Self, BalancerLag: e.config.BalancerLag})
	if err != nil {
		return "", err
	}
	e.machine = machine
	return e.host.Run(ctx, machine, e, first), nil
}

// Inspector returns the interface through which operators read the control state.
func (e *Entry) Inspector() node.Inspector {
	return e.machine
}

// Start starts to serve callers.
func (e *Entry) Start() {
	tracked, err := e.connections.Track(e.server, e.listener)
	if err != nil {
		e.host.Log().WithError(err).Warn("callers-buffers-not-bounded")
	}
	e.host.Spawn(func(context.Context) { _ = e.server.Serve(tracked) })
	e.host.Spawn(e.reportEvictions)
	e.host.Spawn(func(ctx context.Context) {
		<-ctx.Done()
		e.closeConnections(context.WithoutCancel(ctx))
	})
}

// reportEvictions logs and counts the connections that have been closed to make room, until the context ends.
func (e *Entry) reportEvictions(ctx context.Context) {
	ticker := time.NewTicker(evictionReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		e.connections.ReportEvictions(e.host.Log(), func(reason callerconn.Eviction, number int) {
			e.host.CountN("caller_connections_evicted", string(reason), number)
		})
	}
}

// closeConnections closes the listener, and each connection when no request uses it. Requests that are read meanwhile are refused.
func (e *Entry) closeConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	// An error means that the listener has ended, and Serve with it.
	_ = e.listener.Close()
	e.connections.CloseAll(ctx)
	// Connections that are not TCP, as in tests, are not in the table.
	if e.server.Shutdown(ctx) != nil {
		_ = e.server.Close()
	}
}

// trackRequests tells the table of connections which requests reach a handler, bounds the time in which their bodies may be read or
// discarded, and lets callers leave an entry that stops or has no room for others.
func (e *Entry) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.connections.RecordRequest(r)
		deadline := time.Now().Add(e.readTimeout())
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(deadline)
		}
		if e.leaving.Load() || e.connections.Crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		// The handler has refused a request whose body it has not read.
		if r.ContentLength != 0 && !callerconn.DiscardBody(w, r, e.config.Settings.MaxBodyBytes, deadline) && w.Header().Get("Connection") != "close" {
			abortConnection()
		}
	})
}

// UseConfiguration sets the configuration for new calls.
func (e *Entry) UseConfiguration(configuration *published.Configuration) {
	e.configuration.Store(configuration)
}

// SetReady notes the beginning of a planned stop, which ends the readiness. The host stores the readiness.
func (e *Entry) SetReady(ready bool) { e.leaving.Store(!ready) }

// ServeCall aborts the stream: entries serve no call streams.
func (e *Entry) ServeCall(_ wire.Identity, call *wire.Call) {
	call.Abort()
}

// Execute executes an action of the control thread.
func (e *Entry) Execute(action control.Action) {
	switch action := action.(type) {
	case control.OpenAttempt:
		e.forwardAction(action.Dispatch.ID.Request, action)
	case control.ResumeAttempt:
		e.forwardAction(action.Resume.ID.Request, action)
	case control.FinishCall:
		e.forwardAction(action.Request, action)
	case control.KeyAnswered:
		e.deliverKeyAnswer(action.Answer)
	}
}

// forwardAction queues an action for the exchange of a request, if the call is still open.
func (e *Entry) forwardAction(request ident.Request, action control.Action) {
	e.mu.Lock()
	exchange := e.exchanges[request]
	e.mu.Unlock()
	if exchange != nil {
		exchange.enqueueAction(action)
	}
}

// deliverKeyAnswer passes the state of a run key to the inquiry that waits for it.
func (e *Entry) deliverKeyAnswer(answer attempt.KeyAnswer) {
	e.mu.Lock()
	inquiry := e.inquiries[answer.Request]
	e.mu.Unlock()
	if inquiry == nil {
		return
	}
	select {
	case inquiry <- answer:
	default:
	}
}

// newRequestID returns an identifier that is unique in the fleet.
func (e *Entry) newRequestID() ident.Request {
	number := strconv.FormatUint(e.sequence.Add(1), 36)
	incarnation := strconv.FormatUint(uint64(e.config.Self.Instance.Incarnation), 36)
	return ident.Request(string(e.config.Self.Instance.VM) + "-" + incarnation + "-" + number)
}

// addExchange registers an exchange, so that it receives the actions for its request.
func (e *Entry) addExchange(exchange *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[exchange.id] = exchange
}

func (e *Entry) removeExchange(exchange *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanges, exchange.id)
}
