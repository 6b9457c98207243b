//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainReplica is a sound replica of the plain service.
type plainReplica struct {
	record *record
	work   time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// body is the whole answer to a request.
func body(attempt string) string {
	line := "answer to " + attempt + "\n"
	return strings.Repeat(line, 800/len(line)+1)
}

// serve serves as the replica with the ID.
func (p *plainReplica) serve(id string, listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Bramleyspool-Attempt-Id")
		w.Header().Set("Bramleyspool-Attempt-Id", attempt)
		if r.Header.Get("Bramleyspool-Target-Instance") != id {
			w.Header().Set("Bramleyspool-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		p.mu.Lock()
		p.runs[attempt]++
		p.mu.Unlock()
		p.record.line("replica %s runs %s", id, attempt)
		select {
		case <-time.After(p.work):
		case <-r.Context().Done():
			p.record.line("replica %s drops %s: its connection was closed", id, attempt)
			return
		}
		w.Header().Set("Bramleyspool-Server-Signature", fmt.Sprintf("%s.%s", id, attempt))
		_, _ = io.WriteString(w, body(attempt))
	})}
	_ = server.Serve(listener)
}
