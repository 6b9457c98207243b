package gateway

import (
	"errors"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

// Callers held connections for three to four times as long as the configuration allows.
func TestLateCallersAreDisconnectedAsTheConfigurationSays(t *testing.T) {
	t.Parallel()
	backend := newTestBackend(t, "a", respondWith("answer"))
	store := newTestStore(backend)
	limits := routing.CallerLimits{HeaderBytes: 16384, BodyBytes: 4096, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second}
	known := map[string]routing.CustomerAccess{"key": {Customer: "c"}}
	store.state.Table = routing.NewTable(1, limits, testRoutes(), []routing.DirectService{{Name: plainService}, {Name: streamService}}, known)
	g := startTestGateway(t, store, func(*settings.Direct) {})
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	incomplete, idle, served := g.dial(), g.dial(), g.dial()
	incomplete.write("GET /lookup/x HTTP/1.1\r\n")
	served.write(rawRequest("GET", "/lookup/y", "", time.Second))
	g.c.Check(served.response().status, qt.Equals, 200)
	for name, caller := range map[string]*rawCaller{"incomplete": incomplete, "idle": idle, "served": served} {
		_ = caller.conn.SetReadDeadline(time.Now().Add(headerTimeout / 2))
		_, err := caller.conn.Read(make([]byte, 1))
		g.c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the %s connection is still open", name))
	}
}

// Callers that read no refusals held their connections for ever, since only responses of servers had a limit of time.
func TestConnectionsWithUnreadRefusalsEnd(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t, newTestBackend(t, "a", respondWith("answer")))
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	caller := g.dial()
	refused := []byte(rawRequest("GET", "/nothing", "", time.Second))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := caller.conn.Write(refused); err != nil {
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-time.After(4 * writeTimeout):
		g.c.Error("the connection is still open")
		_ = caller.conn.Close()
	}
}
