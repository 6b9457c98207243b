// Package soak runs entries and agents as separate processes on one machine, against stand-ins of the platform and of
// the backend servers. The stand-in of a backend server is called a replica; it is either a plain replica or a rank of a
// group. The package injects faults from outside the processes and checks invariants on the callers' responses and the
// replicas' runs. It ends only processes that it started, by their process ids.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// Sizes, ports and times of a soak.
const (
	callersPerEntry  = 4
	plainReplicas    = 6
	ranksPerGroup    = 4
	zones            = 3
	concurrentFaults = 2
	peerPort         = 7340
	replicaPort      = 8000
	callersPort      = 8100
	readyPort        = 8101
	metricsPort      = 8102
	storePort        = 8200
	// recoveryTime is the time without faults at the end, in which late violations show.
	recoveryTime = 3 * time.Second
	startTimeout = 20 * time.Second
	// crashRequestStream is the random stream of crash requests. The injectors of faults use streams from 0.
	crashRequestStream = 50
	// limitStream is the random stream of limits.
	limitStream = 51
	// statementStream is the random stream of statements.
	statementStream = 52
	// stragglerStream, evacuationStream and coldStream are the random streams of hardLoad, the next two those of crowds.
	stragglerStream  = 53
	evacuationStream = 54
	coldStream       = 55
	crowdStream      = 56
	slowReaderStream = 57
	repeatStream     = 58
	// zoneStopStream and throttleStream are the random streams of stops. Callers that send several requests at once use streams from
	// pipelineStream.
	zoneStopStream = 59
	throttleStream = 60
	pipelineStream = 70
	// minProcesses is enough for two entries and the agents of one group.
	minProcesses = 2 + ranksPerGroup
)

// Options are the settings of soaks.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Seed determines requests and faults of the first soak. Seeds is the number of soaks, with consecutive seeds.
	Seed, Seeds uint64
	// Duration is how long one soak injects faults.
	Duration time.Duration
	// Processes is the total number of entries and agents.
	Processes int
	// CrashRequestsOnly omits all faults other than requests that crash replicas.
	CrashRequestsOnly bool
	// PlannedOnly injects planned work only, such as stops and new configurations, for which no request may be lost.
	PlannedOnly bool
	// LongBodies plays no faults, but a load of long bodies at one entry.
	LongBodies bool
	// Out receives one summary line per soak.
	Out io.Writer
}

// ViolationError reports the first violated invariant of a soak.
type ViolationError struct {
	Seed uint64
	// Directory is the directory with the logs of the soak and its processes.
	Directory string
	// Violation describes the violation.
	Violation string
}

// Error returns the violation with the seed and the directory of the logs.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("seed %d: %s; logs in %s", e.Seed, e.Violation, e.Directory)
}

// soak is one soak with one seed.
type soak struct {
	options    Options
	seed       uint64
	directory  string
	deployment *standin.Deployment
	callers    *callers
	// crashRequests sends the requests that crash replicas.
	crashRequests *crashRequests
	// limits lets replicas name limits of requests.
	limits *limits
	// statements lets replicas say that they leave or want rest, and restores the store from copies.
	statements *statements
	// hardLoad plays stragglers, evacuations and cold replicas.
	hardLoad *hardLoad
	// crowds sends bursts of requests of the least urgent class, and streams that are read slowly.
	crowds *crowds
	// repeats lets replicas shed while entries are killed.
	repeats *repeats
	// stops sends long postings and further signals to entries that are stopped as planned.
	stops  *stops
	faults faultLog
	cancel context.CancelFunc

	entries, agents              []*process
	storeProxies, replicaProxies []*proxy

	mu sync.Mutex
	// reserved holds the replicas that a fault or planned work is stopping.
	reserved  map[*standin.Replica]bool
	violation *ViolationError
	logFile   *os.File
}

// Run runs the soaks one after the other and stops at the first violated invariant, which it returns as a *ViolationError.
// The directory with the logs is removed after a soak without a violation.
func Run(ctx context.Context, options Options) error {
	if options.Processes < minProcesses {
		return fmt.Errorf("number of processes must be at least %d, found %d", minProcesses, options.Processes)
	}
	for i := range options.Seeds {
		if err := runSeed(ctx, options, options.Seed+i); err != nil {
			return err
		}
	}
	return nil
}

func runSeed(ctx context.Context, options Options, seed uint64) error {
	directory, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{options: options, seed: seed, directory: directory, cancel: cancel, reserved: map[*standin.Replica]bool{}}
	if s.logFile, err = os.Create(filepath.Join(directory, "soak.log")); err != nil {
		return err
	}
	defer func() { _ = s.logFile.Close() }()
	defer s.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	if s.options.LongBodies {
		load := &longBodies{soak: s, entry: s.entries[0]}
		load.run(ctx)
	} else {
		s.run(ctx)
	}
	s.callers.checkRuns()
	s.crashRequests.check()
	s.limits.check()
	s.statements.check()
	s.hardLoad.check()
	s.crowds.check()
	s.repeats.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(options.Out, "seed %d: %d served, %d refused, %d failed, %d crashes by requests\n",
		seed, s.callers.served.Load(), s.callers.refused.Load(), s.callers.failed.Load(), s.crashRequests.total())
	if s.violation != nil {
		return s.violation
	}
	if s.callers.served.Load() == 0 {
		return &ViolationError{Seed: seed, Directory: directory, Violation: "no request was served"}
	}
	return os.RemoveAll(directory)
}

// reportViolation logs a violated invariant, keeps the first one and ends the soak.
func (s *soak) reportViolation(violation string) {
	s.log("VIOLATION: " + violation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == nil {
		s.violation = &ViolationError{Seed: s.seed, Directory: s.directory, Violation: violation}
		s.cancel()
	}
}

// log writes a line into soak.log.
func (s *soak) log(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.logFile, "%s %s\n", time.Now().UTC().Format(time.RFC3339Nano), text)
}

// sizes returns the numbers of entries and groups. About a quarter of the processes are entries; the others are agents,
// one for each rank of a group.
func (s *soak) sizes() (entries, groups int) {
	groups = max(s.options.Processes*3/4/ranksPerGroup, 1)
	return max(s.options.Processes-groups*ranksPerGroup, 1), groups
}

// start starts the platform's stand-ins, the proxies and all processes. Each entry and each plain replica has
// its own loopback address; a rank shares one with its agent.
func (s *soak) start(ctx context.Context) error {
	entries, groups := s.sizes()
	size := standin.Size{Plain: plainReplicas, Groups: groups, RanksPerGroup: ranksPerGroup, Zones: zones}
	if s.options.LongBodies {
		size.BodyBytes = longBodyLimit
	}
	var err error
	if s.deployment, err = standin.New(ctx, s.seed, size, replicaAddress, s.reportViolation); err != nil {
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
		ip := replicaIP("rank", i)
		if err := s.addProcess("agent", standin.ProcessSettings{
			Name: fmt.Sprintf("agent-%d", i), IP: ip, Backend: replicaAddress("rank", i), PeerPort: peerPort, Zone: string(replica.Zone()),
		}, store); err != nil {
			return err
		}
	}
	for i := range entries {
		ip := entryIP(i)
		if err := s.addProcess("entry", standin.ProcessSettings{
			Name: fmt.Sprintf("entry-%d", i), IP: ip, PeerPort: peerPort, Zone: string(standin.ZoneOf(i, zones)),
			Callers: fmt.Sprintf("%s:%d", ip, callersPort), Ready: fmt.Sprintf("%s:%d", ip, readyPort),
			Seeds: []string{fmt.Sprintf("%s:%d", entryIP(0), callersPort), fmt.Sprintf("%s:%d", entryIP(1), callersPort)},
		}, store); err != nil {
			return err
		}
	}
	s.callers = &callers{soak: s, entries: s.entries, ready: map[*process]bool{}}
	s.crashRequests = newCrashRequests(s)
	s.limits = &limits{soak: s}
	s.statements = &statements{soak: s}
	s.hardLoad = &hardLoad{soak: s}
	s.crowds, s.repeats, s.stops = &crowds{soak: s}, &repeats{soak: s}, &stops{soak: s}
	return nil
}

// entryIP returns the loopback address of an entry, without a port.
func entryIP(index int) string { return fmt.Sprintf("127.4.%d.%d", index/200, index%200+1) }

// replicaIP returns the loopback address of a replica, without a port; kind is "plain" or "rank".
func replicaIP(kind string, index int) string {
	network := 2
	if kind == "rank" {
		network = 3
	}
	return fmt.Sprintf("127.%d.%d.%d", network, index/200, index%200+1)
}

// replicaAddress returns the address (IP:port) that the store lists for a replica. The replica's proxy listens on it, so
// that entries and agents reach the replica only through the proxy.
func replicaAddress(kind string, index int) string {
	return fmt.Sprintf("%s:%d", replicaIP(kind, index), replicaPort)
}

// replicaProxy returns the proxy of a replica.
func (s *soak) replicaProxy(replica *standin.Replica) *proxy {
	index := slices.IndexFunc(s.replicaProxies, func(p *proxy) bool { return p.name == replica.Name() })
	return s.replicaProxies[index]
}

func (s *soak) addReplicaProxy(address string, replica *standin.Replica) error {
	added, err := newProxy(replica.Name(), address, replica.Address)
	if err != nil {
		return err
	}
	s.replicaProxies = append(s.replicaProxies, added)
	return nil
}

// addProcess starts a process, and a proxy for its connections to the store.
func (s *soak) addProcess(role string, settings standin.ProcessSettings, store string) error {
	settings.Store = fmt.Sprintf("%s:%d", settings.IP, storePort)
	added, err := newProxy(settings.Name, settings.Store, func() string { return store })
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, added)
	p := &process{role: role, settings: settings, binary: s.options.Binary, directory: s.directory, reportViolation: s.reportViolation, plannedStops: map[int]time.Time{}}
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

// run runs callers and probes, injects faults for the duration, and continues without faults for recoveryTime.
func (s *soak) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers sync.WaitGroup
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }
	workers.Go(func() { s.callers.pollReadiness(ctx) })
	s.stops.spawn = func(work func(ctx context.Context)) { workers.Go(func() { work(ctx) }) }
	if !s.awaitReady(ctx) {
		s.reportViolation(fmt.Sprintf("no entry became ready within %s", startTimeout))
	}
	for i := range callersPerEntry * len(s.entries) {
		workers.Go(func() { s.callers.run(ctx, fmt.Sprintf("r%d", i), allKinds, meanThinkTime, newRandom(uint64(100+i))) })
	}
	for i, entry := range s.entries {
		workers.Go(func() { s.callers.probeVersions(ctx, entry) })
		workers.Go(func() { s.callers.runPipelines(ctx, fmt.Sprintf("pipe-%d", i), newRandom(uint64(pipelineStream+i))) })
	}
	faultCtx, cancelFaults := context.WithTimeout(ctx, s.options.Duration)
	defer cancelFaults()
	var injectors sync.WaitGroup
	if !s.options.CrashRequestsOnly {
		injectors.Go(func() { s.stops.runZoneStops(faultCtx, ctx, newRandom(zoneStopStream)) })
		for i := range concurrentFaults {
			injectors.Go(func() { s.injectFaults(faultCtx, newRandom(uint64(i))) })
		}
	}
	switch {
	case s.options.PlannedOnly:
		injectors.Go(func() { s.stops.runThrottles(faultCtx, newRandom(throttleStream)) })
	case !s.options.CrashRequestsOnly:
		injectors.Go(func() { s.limits.run(faultCtx, newRandom(limitStream)) })
		injectors.Go(func() { s.hardLoad.runStragglers(faultCtx, newRandom(stragglerStream)) })
		injectors.Go(func() { s.hardLoad.runEvacuations(faultCtx, ctx, newRandom(evacuationStream)) })
		injectors.Go(func() { s.hardLoad.runCold(faultCtx, ctx, newRandom(coldStream)) })
		injectors.Go(func() { s.crowds.run(faultCtx, newRandom(crowdStream)) })
		injectors.Go(func() { s.crowds.runSlowReaders(faultCtx, newRandom(slowReaderStream)) })
		injectors.Go(func() { s.statements.run(faultCtx, newRandom(statementStream)) })
		injectors.Go(func() { s.repeats.run(faultCtx, newRandom(repeatStream)) })
	}
	if !s.options.PlannedOnly {
		injectors.Go(func() { s.crashRequests.run(faultCtx, newRandom(crashRequestStream)) })
	}
	injectors.Wait()
	recovered := time.After(recoveryTime)
	s.crowds.checkAccounts(ctx)
	select {
	case <-recovered:
	case <-ctx.Done():
	}
	cancel()
	workers.Wait()
}

// awaitReady reports whether an entry became ready within startTimeout. It also returns true if the context has ended.
func (s *soak) awaitReady(ctx context.Context) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if s.callers.pickReadyEntry(rand.New(rand.NewPCG(s.seed, 1))) != nil {
			return true
		}
		sleep(ctx, readinessInterval)
	}
	return ctx.Err() != nil
}

func (s *soak) replicas() []*standin.Replica {
	return append(append([]*standin.Replica(nil), s.deployment.Plain...), s.deployment.Ranks...)
}

// reserve prevents two faults from stopping the same replica at the same time. It returns false if the replica is
// already reserved.
func (s *soak) reserve(replica *standin.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[replica] {
		return false
	}
	s.reserved[replica] = true
	return true
}

// release ends a reservation.
func (s *soak) release(replica *standin.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, replica)
}

// close kills all processes that the soak started and closes the proxies.
func (s *soak) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.terminate()
	}
	for _, p := range append(append([]*proxy(nil), s.storeProxies...), s.replicaProxies...) {
		p.end()
	}
}
