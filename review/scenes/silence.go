//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// silentProxy passes connections on. After silence, those that are open carry nothing any more, without a reset; new ones work.
type silentProxy struct {
	target string
	mu     sync.Mutex
	// dead is closed when the connections of the present generation go silent.
	dead chan struct{}
}

func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dead)
	p.dead = make(chan struct{})
}

func (p *silentProxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		dead := p.dead
		p.mu.Unlock()
		go p.pass(conn, dead)
	}
}

func (p *silentProxy) pass(conn net.Conn, dead chan struct{}) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	copyTo := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-dead:
				// What has been read is dropped. Both sides stay open until their owners close them.
				if err == nil {
					_, _ = io.Copy(io.Discard, from)
				}
				return
			default:
			}
			if err != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go copyTo(target, conn)
	copyTo(conn, target)
}

const (
	configBound  = 2 * time.Second
	stableWindow = 3 * time.Second
	plainEntries = 4
	caseHost     = "cases.example"
	caseKey      = "key-1"
)

// plainServer is a sound replica of a plain service. It records which service ran a request.
type plainServer struct {
	service, id, address string
	ran                  *sync.Map
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bramleyspool-Attempt-Id")
	w.Header().Set("Bramleyspool-Attempt-Id", id)
	if r.Header.Get("Bramleyspool-Target-Instance") != p.id {
		w.Header().Set("Bramleyspool-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.ran.Store(id, p.service)
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Bramleyspool-Server-Signature", "s."+p.id)
	_, _ = io.WriteString(w, "answer of "+p.service+" to "+id+"\n")
}

// configuration returns a configuration whose only route leads to a service.
func configuration(version int, service string) map[string]any {
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api-keys": []string{caseKey}}},
		"routes": []map[string]any{{
			"name": "redeem", "host": caseHost, "prefix": "/redeem/", "kind": "non_idempotent", "service": service, "attempts": 2,
			"timeout-ms": 600, "target-latency-ms": 100, "priority": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "counter-a", "health-path": "/healthz", "max-conns": 200}, {"name": "counter-b", "health-path": "/healthz", "max-conns": 200}},
	}
}

func init() { scenes["silent-watch"] = playSilentWatch }

// playSilentWatch changes the configuration shortly after the open connections to the store have gone silent, and sends each entry a request
// later than the bound.
func playSilentWatch(s *scene) error {
	ran := &sync.Map{}
	st := newStore()
	services := []string{"counter-a", "counter-b"}
	version := 1
	st.put("op/config", configuration(version, services[version%2]))
	for i, service := range services {
		for n := range 2 {
			listener, err := listen(s.ip(2, 10*i+n))
			if err != nil {
				return err
			}
			server := &plainServer{service: service, id: fmt.Sprintf("i-%s-%d", service, n), address: listener.Addr().String(), ran: ran}
			go func() { _ = http.Serve(listener, server) }()
			st.put("servers/"+server.id, map[string]any{
				"service": service, "address": server.address, "zone": "a", "version": 1, "slots": 6, "state": "ready",
				"warmup-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
		}
	}
	target, err := serveStore(s, st)
	if err != nil {
		return err
	}
	var proxies []*silentProxy
	var entries, ready []string
	peerPort, err := s.freePeerPort(map[int]int{4: plainEntries})
	if err != nil {
		return err
	}
	for i := range plainEntries {
		listener, err := listen(s.ip(6, i))
		if err != nil {
			return err
		}
		proxy := &silentProxy{target: target, dead: make(chan struct{})}
		proxies = append(proxies, proxy)
		go proxy.serve(listener)
		settings, err := s.entrySettings(i, plainEntries, peerPort, listener.Addr().String())
		if err != nil {
			return err
		}
		if _, err := s.start("entry", settings); err != nil {
			return err
		}
		entries, ready = append(entries, settings.Callers), append(ready, settings.Ready)
	}
	if err := awaitReady(ready); err != nil {
		return err
	}
	go pollReady(s, ready)
	var sent, old atomic.Int64
	between := func(least, most time.Duration) time.Duration { return least + rand.N(most-least) }
	for round := 1; round <= 7; round++ {
		// A few requests at any time, and then none for a while.
		var earlier sync.WaitGroup
		for i, entry := range entries {
			earlier.Go(func() {
				time.Sleep(between(0, 3*time.Second))
				status, _ := redeem(entry, fmt.Sprintf("%d-%d-earlier", round, i))
				s.log("round %d: an earlier request to entry %d: status %d", round, i, status)
			})
		}
		earlier.Wait()
		time.Sleep(between(5*time.Second, 9*time.Second))
		silentAt := time.Now()
		if s.trouble {
			s.log("round %d: the open connections of the entries to the store go silent", round)
			for _, proxy := range proxies {
				proxy.silence()
			}
		}
		time.Sleep(between(time.Second, 1500*time.Millisecond))
		version++
		service := services[version%2]
		st.put("op/config", configuration(version, service))
		acknowledged := time.Now()
		s.log("round %d: version %d is acknowledged; the route leads to %s", round, version, service)
		// The machines are in touch again, and the bound has passed.
		time.Sleep(max(time.Until(silentAt.Add(stableWindow)), configBound) + 150*time.Millisecond)
		for i, entry := range entries {
			id := fmt.Sprintf("%d-%d", round, i)
			sentAfter := time.Since(acknowledged)
			sent.Add(1)
			status, text := redeem(entry, id)
			by, _ := ran.Load(id)
			s.log("round %d: request %s, sent to entry %d %.3f s after the acknowledgement: status %d, %q, run by %v", round, id, i, sentAfter.Seconds(), status, text, by)
			if by != nil && by != service {
				old.Add(1)
				s.violate("CONFIG: request %s, sent %.3f s after version %d was acknowledged, was run by %v, to which only the version before leads", id, sentAfter.Seconds(), version, by)
			}
		}
	}
	s.log("%d requests sent, %d of them run by the service of the version before", sent.Load(), old.Load())
	return nil
}

// pollReady asks the entries once a second whether they are ready, as the platform does.
func pollReady(s *scene, ready []string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for i, address := range ready {
			response, err := client.Get("http://" + address + "/ready")
			if err != nil || response.StatusCode != http.StatusOK {
				s.log("entry %d is not ready", i)
			}
			if err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(time.Second)
	}
}

// redeem sends one request that must not run twice, on a connection of its own.
func redeem(entry, id string) (int, string) { return redeemWith(entry, id, caseKey) }

// redeemWith is redeem with another key.
func redeemWith(entry, id, key string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/redeem/"+id, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	request.Host, request.Close = caseHost, true
	request.Header.Set("Bramleyspool-Attempt-Id", id)
	request.Header.Set("Bramleyspool-Deadline-Ms", "600")
	request.Header.Set("X-Api-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}
