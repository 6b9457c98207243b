//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of the case of long requests.
const (
	// entryRate is the rate of requests at one entry: the sheet's 85 a second over 8 entries. burstFactor is the site's burst.
	entryRate   = 10.6
	burstFactor = 1.7
	longBody    = 4194304
	// uploadRate is the rate at which one caller sends, in bytes a second.
	uploadRate = 3 << 19
	quietTime  = 6 * time.Second
	burstTime  = 3 * time.Second
	streamGap  = 62 * time.Millisecond
	// firstEvent is the objective of the sheet for the first event.
	firstEvent   = 400 * time.Millisecond
	streamEvents = 26
	memoryMB     = 206
)

// streamReplica is a sound replica that answers each request with a stream of events.
type streamReplica struct {
	record *record
	mu     sync.Mutex
	passed map[string]bool
}

func (s *streamReplica) serve(id string, listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Bramleyspool-Attempt-Id")
		w.Header().Set("Bramleyspool-Attempt-Id", attempt)
		if r.Header.Get("Bramleyspool-Target-Instance") != id {
			w.Header().Set("Bramleyspool-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.Method == http.MethodGet {
			w.Header().Set("Bramleyspool-Server-Signature", fmt.Sprintf("%s.%s", id, attempt))
			_, _ = io.WriteString(w, body(attempt))
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.passed[attempt] = true
		s.mu.Unlock()
		s.record.line("replica %s runs %s", id, attempt)
		w.Header().Set("Bramleyspool-Server-Signature", fmt.Sprintf("%s.%s", id, attempt))
		w.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= streamEvents; event++ {
			pause := streamGap
			if event == 1 {
				pause = firstEvent
			}
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 40))
			_ = http.NewResponseController(w).Flush()
		}
	})}
	_ = server.Serve(listener)
}

func (s *streamReplica) wasPassed(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passed[attempt]
}

// anonymousMB returns the anonymous memory of a process, in units of 1,000,000 bytes.
func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(string(line), "RssAnon: %f kB", &kilobytes); n == 1 {
			return kilobytes * 1024 / 1e6
		}
	}
	return 0
}

// longRequests sends requests with bodies of the greatest size that the configuration allows, in a burst of the site's
// strength. Like the platform, it kills an entry whose memory exceeds the limit of its settings.
func longRequests(out *record, trouble bool) (int, error) {
	replica := &streamReplica{record: out, passed: map[string]bool{}}
	d, err := newDeployment(out, options{
		entries: 1, replicas: 6, memoryMB: memoryMB, timeout: 8 * time.Second, slots: 12,
		routes: []route{{name: "letter", prefix: "/letter/", kind: "stream", attempts: 2}, {name: "lookup", prefix: "/lookup/", kind: "idempotent", attempts: 2}},
	}, replica.serve)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	e := d.entries[0]
	var peak atomic.Uint64
	var killed atomic.Bool
	watching := make(chan struct{})
	go func() {
		for {
			select {
			case <-watching:
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := anonymousMB(e.command.Process.Pid)
			peak.Store(max(peak.Load(), uint64(used)))
			if used > memoryMB && killed.CompareAndSwap(false, true) {
				out.line("entry 0 uses %.0f MB of the %d MB in its settings: it is killed, as the platform does", used, memoryMB)
				e.kill()
			}
		}
	}()
	var callers sync.WaitGroup
	var served, cut, begun, other atomic.Int64
	start := time.Now()
	total := quietTime + burstTime
	for i := 0; time.Since(start) < total && !killed.Load(); i++ {
		attempt := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		callers.Go(func() {
			status, err := sendLetter(e.address, attempt)
			switch {
			case err == nil && status == http.StatusOK:
				served.Add(1)
				out.line("caller of %s got the whole stream", attempt)
			case err == nil:
				other.Add(1)
				out.line("caller of %s got %d", attempt, status)
			case status != 0:
				begun.Add(1)
				out.line("the stream of %s was cut off after its answer had begun: %v", attempt, err)
			case replica.wasPassed(attempt):
				cut.Add(1)
				out.line("LOST: the connection of %s ended without an answer, and a replica has run it: %v", attempt, err)
			default:
				out.line("the connection of %s ended without an answer, and no replica has it: %v", attempt, err)
			}
		})
		rate := entryRate
		if trouble && time.Since(start) >= quietTime {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	callers.Wait()
	close(watching)
	out.line("%d served, %d passed on and without an answer, %d cut off in their answer, %d with another status; at most %d MB", served.Load(), cut.Load(), begun.Load(), other.Load(), peak.Load())
	if killed.Load() && cut.Load() > 3 {
		return broken, nil
	}
	if served.Load() == 0 {
		return notRun, errors.New("no request was served")
	}
	return held, nil
}

// sendLetter sends a long request over a connection that has served a short one, and reads the whole answer.
func sendLetter(address, attempt string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(9 * time.Second))
	reader := bufio.NewReader(conn)
	lookup := strings.Join([]string{
		"GET /lookup/" + attempt + " HTTP/1.1", "Host: " + callerHost, "Bramleyspool-Attempt-Id: " + attempt + "a",
		"Bramleyspool-Deadline-Ms: 600", "X-Api-Key: " + apiKey, "", "",
	}, "\r\n")
	if _, err := io.WriteString(conn, lookup); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	head := strings.Join([]string{
		"POST /letter/" + attempt + " HTTP/1.1", "Host: " + callerHost, "Bramleyspool-Attempt-Id: " + attempt,
		"Bramleyspool-Deadline-Ms: 8000", "X-Api-Key: " + apiKey, fmt.Sprintf("Content-Length: %d", longBody), "", "",
	}, "\r\n")
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	part := bytes.Repeat([]byte("letter. "), 8<<10)
	start := time.Now()
	for sent := 0; sent < longBody; sent += len(part) {
		if _, err := conn.Write(part); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent+len(part)) / uploadRate * float64(time.Second)))))
	}
	if response, err = http.ReadResponse(reader, nil); err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
