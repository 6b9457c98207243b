//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// rankProxy stands before the replica of one rank. It passes everything on, and plays a faulty replica: one that sends a second
// copy of an answer, late, and then breaks the connection off.
type rankProxy struct {
	scene    *scene
	rank     int
	address  string
	target   string
	faulty   bool
	trouble  *atomic.Bool
	counters *rankCounters

	mu     sync.Mutex
	random *rand.Rand
}

type rankCounters struct {
	orders, copies, masked atomic.Int64
}

// The dose of the disruption "garble" with "extra late", as the site file has it.
const (
	copyShare   = 0.03
	faultyRanks = 4 // of 8, a share of 0.5; the site file has 0.6
	garbleTime  = 5 * time.Second
)

// closeDelay is the time from the second copy to the end of the connection.
const closeDelay = 20 * time.Millisecond

func (p *rankProxy) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

func (p *rankProxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

// serveConn handles the calls to the engine's own interface one by one, and passes on the bytes of a connection with requests
// of clients unchanged.
func (p *rankProxy) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var second []byte
	earlier := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		path := request.URL.Path
		if path != "/report" && path != "/picked" && path != "/order" {
			p.tunnel(conn, reader, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if second != nil {
			// The second copy of an earlier answer arrives at the point where the next one is expected. Then the replica breaks the
			// connection off: it does not carry out what it has read.
			p.scene.log("rank %d: a second copy of the answer to an earlier %s arrives where the answer to %s %s is expected; this is not carried out",
				p.rank, earlier, path, orderText(body))
			if path == "/order" {
				p.counters.masked.Add(1)
			}
			_, _ = conn.Write(second)
			time.Sleep(closeDelay)
			return
		}
		if path == "/order" {
			p.counters.orders.Add(1)
		}
		answer, err := p.forward(request, body)
		if err != nil {
			return
		}
		if path == "/order" {
			p.scene.log("rank %d: the order %s is answered %s", p.rank, orderText(body), strings.SplitN(string(answer), "\r\n", 2)[0])
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if p.faulty && p.trouble.Load() && p.draw() < copyShare {
			p.counters.copies.Add(1)
			second, earlier = answer, path
		}
	}
}

// orderText returns the start of an order, without the map.
func orderText(body []byte) string {
	text, _, _ := strings.Cut(string(body), `,"map"`)
	return text
}

// forward passes a call on to the replica and returns the complete answer.
func (p *rankProxy) forward(request *http.Request, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	forwarded, err := http.NewRequestWithContext(ctx, request.Method, "http://"+p.target+request.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	forwarded.Header = request.Header.Clone()
	response, err := engineClient.Do(forwarded)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", response.Status, len(content))
	answer.Write(content)
	return answer.Bytes(), nil
}

var engineClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}

// tunnel passes a connection on to the replica, from a request that was read already.
func (p *rankProxy) tunnel(conn net.Conn, reader *bufio.Reader, first *http.Request) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	if err := first.Write(target); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(target, reader)
		_ = target.Close()
	}()
	_, _ = io.Copy(conn, target)
}

// group is a deployment with one model group, its agents and entries.
type group struct {
	scene      *scene
	deployment *standin.Deployment
	proxies    []*rankProxy
	entries    []string
	trouble    atomic.Bool
	counters   rankCounters

	sent, served, failed atomic.Int64
}

const (
	groupRanks   = 8
	groupEntries = 2
)

// startGroup starts the stand-ins and the processes, and waits until the entries are ready.
func startGroup(ctx context.Context, s *scene, onMap func(violation string)) (*group, error) {
	g := &group{scene: s}
	var listeners []net.Listener
	address := func(kind string, index int) string {
		if kind != "rank" {
			return s.ip(2, index) + ":1"
		}
		return listeners[index].Addr().String()
	}
	for i := range groupRanks {
		listener, err := listen(s.ip(3, i))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	deployment, err := standin.New(ctx, uint64(time.Now().UnixNano()), standin.Size{Groups: 1, RanksPerGroup: groupRanks}, address, onMap)
	if err != nil {
		return nil, err
	}
	g.deployment = deployment
	for i, replica := range deployment.Ranks {
		p := &rankProxy{
			scene: s, rank: i, address: listeners[i].Addr().String(), target: replica.Address(), faulty: i < faultyRanks,
			trouble: &g.trouble, counters: &g.counters, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(i))),
		}
		g.proxies = append(g.proxies, p)
		go p.serve(listeners[i])
	}
	store, err := serveStore(s, deployment.Store)
	if err != nil {
		return nil, err
	}
	peerPort, err := s.freePeerPort(map[int]int{3: groupRanks, 4: groupEntries})
	if err != nil {
		return nil, err
	}
	for i := range groupRanks {
		if _, err := s.start("agent", standin.ProcessSettings{
			Name: fmt.Sprintf("agent-%d", i), IP: s.ip(3, i), Backend: listeners[i].Addr().String(), PeerPort: peerPort, Store: store, FirstStart: true,
		}); err != nil {
			return nil, err
		}
	}
	var ready []string
	for i := range groupEntries {
		settings, err := s.entrySettings(i, groupEntries, peerPort, store)
		if err != nil {
			return nil, err
		}
		if _, err := s.start("entry", settings); err != nil {
			return nil, err
		}
		g.entries = append(g.entries, settings.Callers)
		ready = append(ready, settings.Ready)
	}
	return g, awaitReady(ready)
}

// serveStore serves the stand-in of the platform's store and returns its address.
func serveStore(s *scene, store http.Handler) (string, error) {
	listener, err := listen(s.ip(5, 0))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// awaitReady waits until all entries say that they are ready.
func awaitReady(addresses []string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, address := range addresses {
			response, err := http.Get("http://" + address + "/ready")
			if err != nil || response.StatusCode != http.StatusOK {
				all = false
			}
			if err == nil {
				_ = response.Body.Close()
			}
		}
		if all {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// stream sends one request for a stream and reads it to its end.
func (g *group) stream(ctx context.Context, entry, id string) {
	request, err := standin.Request(ctx, entry, standin.Draft, id, "credential-1", 0)
	if err != nil {
		return
	}
	g.sent.Add(1)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		g.failed.Add(1)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && standin.StreamFault(string(text)) == "" {
		g.served.Add(1)
		return
	}
	g.failed.Add(1)
	time.Sleep(100 * time.Millisecond)
}

func init() { scenes["second-answer"] = playSecondAnswer }

// playSecondAnswer plays replicas of a model group that send some answers twice.
func playSecondAnswer(s *scene) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g *group
	g, err := startGroup(ctx, s, func(violation string) { s.violate("MAP: %s", violation) })
	if err != nil {
		return err
	}
	s.log("%d agents and %d entries are ready; replicas of ranks 0 to %d send second answers", groupRanks, groupEntries, faultyRanks-1)
	for i := range 12 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				g.stream(ctx, g.entries[i%groupEntries], fmt.Sprintf("c%d-%d", i, n))
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end) && !s.broken(); {
		if s.trouble {
			s.log("disruption begins")
			g.trouble.Store(true)
		}
		for wait := time.Now().Add(garbleTime); time.Now().Before(wait) && !s.broken(); {
			time.Sleep(50 * time.Millisecond)
		}
		g.trouble.Store(false)
		s.log("disruption ends")
		time.Sleep(time.Second)
	}
	s.log("streams: %d sent, %d served whole, %d refused or broken off", g.sent.Load(), g.served.Load(), g.failed.Load())
	s.log("orders: %d carried out, %d not carried out where a second copy of an earlier answer came; answers kept to be sent a second time: %d",
		g.counters.orders.Load(), g.counters.masked.Load(), g.counters.copies.Load())
	return nil
}
