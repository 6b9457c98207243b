package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/settings"
)

// BenchmarkCall serves a lookup with a body of the usual size over kept connections.
func BenchmarkCall(b *testing.B) {
	backend := newTestBackend(b, "a", respondWith(strings.Repeat("x", 800)))
	g := startTestGateway(b, newTestStore(backend), func(*settings.Direct) {})
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	body := strings.Repeat("x", 1000)
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/lookup/x", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h.example"
		request.Header.Set("X-Request", "r")
		request.Header.Set("X-Credential", "key")
		response, err := g.client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.Status, err)
		}
		_ = response.Body.Close()
	}
}
