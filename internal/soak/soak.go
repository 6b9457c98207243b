// Package soak runs the real programs as separate processes on one machine, does harm to them from outside, and checks
// what callers and backend servers see. It ends only processes that it started, by their ids.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// Sizes and times of a soak.
const (
	callersPerEntry = 4
	plainReplicas   = 3
	ranksPerGroup   = 4
	injectors       = 2
	peerPort        = 7340
	replicaPort     = 8000
	callersPort     = 8100
	readyPort       = 8101
	storePort       = 8200
	// settleTime is left at the end without faults, so that what comes late is seen.
	settleTime   = 3 * time.Second
	startTimeout = 20 * time.Second
	// leastProcesses is one entry and one group.
	leastProcesses = 2 + ranksPerGroup
)

// Options are the settings of soaks.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Seed decides requests and faults of the first soak; each further one has the next.
	Seed, Seeds uint64
	// Duration is how long the faults of one soak go on.
	Duration time.Duration
	// Processes is the number of entries and agents together.
	Processes int
	// Out takes the progress.
	Out io.Writer
}

// BreachError reports what did not hold.
type BreachError struct {
	Seed   uint64
	Folder string
	What   string
}

// Error tells how to look into it.
func (e *BreachError) Error() string {
	return fmt.Sprintf("seed %d: %s; logs in %s", e.Seed, e.What, e.Folder)
}

// soak is one run with one seed.
type soak struct {
	options    Options
	seed       uint64
	folder     string
	deployment *standin.Deployment
	callers    *callers
	faults     faultLog
	cancel     context.CancelFunc

	entries, agents              []*process
	storeProxies, replicaProxies []*proxy

	mu      sync.Mutex
	claimed map[*standin.Replica]bool
	broken  *BreachError
	notes   *os.File
}

// Run runs the soaks one after the other. The error is a BreachError for the first one in which something did not hold.
func Run(ctx context.Context, options Options) error {
	if options.Processes < leastProcesses {
		return fmt.Errorf("processes: at least %d, found %d", leastProcesses, options.Processes)
	}
	for i := range options.Seeds {
		if err := runSeed(ctx, options, options.Seed+i); err != nil {
			return err
		}
	}
	return nil
}

func runSeed(ctx context.Context, options Options, seed uint64) error {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{options: options, seed: seed, folder: folder, cancel: cancel, claimed: map[*standin.Replica]bool{}}
	if s.notes, err = os.Create(filepath.Join(folder, "soak.log")); err != nil {
		return err
	}
	defer func() { _ = s.notes.Close() }()
	defer s.close()
	if err := s.build(ctx); err != nil {
		return err
	}
	s.play(ctx)
	s.callers.conclude()
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(options.Out, "seed %d: %d served, %d refused, %d failed\n",
		seed, s.callers.served.Load(), s.callers.refused.Load(), s.callers.failed.Load())
	if s.broken != nil {
		return s.broken
	}
	if s.callers.served.Load() == 0 {
		return &BreachError{Seed: seed, Folder: folder, What: "no request was served"}
	}
	return os.RemoveAll(folder)
}

// breach keeps the first thing that did not hold and ends the soak.
func (s *soak) breach(what string) {
	s.note("BREACH: " + what)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = &BreachError{Seed: s.seed, Folder: s.folder, What: what}
		s.cancel()
	}
}

func (s *soak) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.notes, "%s %s\n", time.Now().UTC().Format(time.RFC3339Nano), text)
}

// sizes returns the numbers of entries and groups for the number of processes: a quarter entries.
func (s *soak) sizes() (entries, groups int) {
	groups = max(s.options.Processes*3/4/ranksPerGroup, 1)
	return max(s.options.Processes-groups*ranksPerGroup, 1), groups
}

// build starts the platform, the proxies and all processes. Each VM has a loopback address of its own.
func (s *soak) build(ctx context.Context) error {
	entries, groups := s.sizes()
	size := standin.Size{Plain: plainReplicas, Groups: groups, RanksPerGroup: ranksPerGroup}
	var err error
	if s.deployment, err = standin.New(ctx, s.seed, size, replicaAddress, s.breach); err != nil {
		return err
	}
	store, err := serveStore(s.deployment.Store)
	if err != nil {
		return err
	}
	for i, replica := range s.deployment.Plain {
		if err := s.addReplicaProxy(replicaAddress("plain", i), replica); err != nil {
			return err
		}
	}
	for i, replica := range s.deployment.Ranks {
		if err := s.addReplicaProxy(replicaAddress("rank", i), replica); err != nil {
			return err
		}
		address := replicaIP("rank", i)
		if err := s.addProcess("agent", standin.ProcessSettings{
			Name: fmt.Sprintf("agent-%d", i), IP: address, Backend: replicaAddress("rank", i), PeerPort: peerPort,
		}, store); err != nil {
			return err
		}
	}
	for i := range entries {
		ip := fmt.Sprintf("127.4.%d.%d", i/200, i%200+1)
		if err := s.addProcess("entry", standin.ProcessSettings{
			Name: fmt.Sprintf("entry-%d", i), IP: ip, PeerPort: peerPort,
			Callers: fmt.Sprintf("%s:%d", ip, callersPort), Ready: fmt.Sprintf("%s:%d", ip, readyPort),
		}, store); err != nil {
			return err
		}
	}
	s.callers = &callers{soak: s, entries: s.entries, ready: map[*process]bool{}}
	return nil
}

func replicaIP(kind string, index int) string {
	network := 2
	if kind == "rank" {
		network = 3
	}
	return fmt.Sprintf("127.%d.%d.%d", network, index/200, index%200+1)
}

// replicaAddress is the address that the list has for a replica: its proxy's.
func replicaAddress(kind string, index int) string {
	return fmt.Sprintf("%s:%d", replicaIP(kind, index), replicaPort)
}

func (s *soak) addReplicaProxy(address string, replica *standin.Replica) error {
	added, err := newProxy(replica.Name(), address, replica.Address)
	if err != nil {
		return err
	}
	s.replicaProxies = append(s.replicaProxies, added)
	return nil
}

// addProcess starts a process with a proxy of its own to the store.
func (s *soak) addProcess(role string, place standin.ProcessSettings, store string) error {
	place.Store = fmt.Sprintf("%s:%d", place.IP, storePort)
	added, err := newProxy(place.Name, place.Store, func() string { return store })
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, added)
	p := &process{role: role, place: place, binary: s.options.Binary, folder: s.folder, report: s.breach, stops: map[int]time.Time{}}
	if err := p.start(); err != nil {
		return err
	}
	if role == "entry" {
		s.entries = append(s.entries, p)
	} else {
		s.agents = append(s.agents, p)
	}
	return nil
}

// play lets callers send requests while faults come, and then for a while without any.
func (s *soak) play(ctx context.Context) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	var working sync.WaitGroup
	random := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, part)) }
	working.Go(func() { s.callers.watch(ctx) })
	if !s.awaitReady(ctx) {
		s.breach(fmt.Sprintf("no entry is ready after %s", startTimeout))
	}
	for i := range callersPerEntry * len(s.entries) {
		working.Go(func() { s.callers.run(ctx, i, random(uint64(100+i))) })
	}
	for _, entry := range s.entries {
		working.Go(func() { s.callers.probe(ctx, entry) })
	}
	harm, endHarm := context.WithTimeout(ctx, s.options.Duration)
	defer endHarm()
	var harming sync.WaitGroup
	for i := range injectors {
		harming.Go(func() { s.inject(harm, random(uint64(i))) })
	}
	harming.Wait()
	pause(ctx, settleTime)
	end()
	working.Wait()
}

func (s *soak) awaitReady(ctx context.Context) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if s.callers.pick(rand.New(rand.NewPCG(s.seed, 1))) != nil {
			return true
		}
		pause(ctx, readinessInterval)
	}
	return ctx.Err() != nil
}

func (s *soak) replicas() []*standin.Replica {
	return append(append([]*standin.Replica(nil), s.deployment.Plain...), s.deployment.Ranks...)
}

// claim keeps two faults from ending the same replica at once. It returns false if another one has it.
func (s *soak) claim(replica *standin.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed[replica] {
		return false
	}
	s.claimed[replica] = true
	return true
}

func (s *soak) release(replica *standin.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimed, replica)
}

// close ends all processes that the soak started.
func (s *soak) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.end()
	}
	for _, p := range append(append([]*proxy(nil), s.storeProxies...), s.replicaProxies...) {
		p.close()
	}
}
