package calls

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	// minDelay and maxDelay bound the network delay of a message.
	minDelay     = 500 * time.Microsecond
	maxDelay     = 3 * time.Millisecond
	tickInterval = 50 * time.Millisecond
)

// Simulation is a discrete-event simulation of a world whose network delays messages.
type Simulation struct {
	world    *World
	random   *rand.Rand
	queue    schedule
	sequence uint64
	// buffered holds the messages to paused agents, by VM.
	buffered map[ident.VM][]envelope
	// drop reports whether a message is lost; nil for none.
	drop func(envelope) bool
	// serve returns the duration of a run, and whether the run crashes its backend server.
	serve func(attempt.Dispatch) (time.Duration, bool)
	// backendDown reports whether an agent's backend server is down; nil if it never is.
	backendDown func(*agentProcess) bool
	// onCrash is called at each crash of a backend server; it may be nil.
	onCrash func(*agentProcess)
}

type scheduled struct {
	at       time.Time
	sequence uint64
	action   func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || (s[i].at.Equal(s[j].at) && s[i].sequence < s[j].sequence)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// NewSimulation returns a simulation of a new world; seed is the seed of its random choices.
func NewSimulation(config Config, seed uint64) *Simulation {
	s := &Simulation{
		random:   rand.New(rand.NewPCG(seed, 0x5eed)),
		buffered: map[ident.VM][]envelope{},
	}
	s.serve = func(attempt.Dispatch) (time.Duration, bool) {
		return time.Duration(50+s.random.IntN(200)) * time.Millisecond, false
	}
	s.world = NewWorld(config)
	s.world.send = s.scheduleDelivery
	s.world.drainUntilKilled = true
	s.world.onRun = s.scheduleRunEnd
	pending := s.world.network
	s.world.network = nil
	for _, e := range pending {
		s.scheduleDelivery(e)
	}
	s.scheduleTick()
	return s
}

func (s *Simulation) after(wait time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, scheduled{at: s.world.now.Add(wait), sequence: s.sequence, action: do})
}

// run executes the scheduled events until the given time since the start.
func (s *Simulation) run(until time.Duration) {
	end := s.world.started.Add(until)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(scheduled)
		s.world.now = next.at
		next.action()
	}
	s.world.now = end
}

func (s *Simulation) scheduleTick() {
	s.after(tickInterval, func() {
		s.world.tick()
		s.scheduleTick()
	})
}

func (s *Simulation) scheduleDelivery(e envelope) {
	if s.world.blocked[link{e.from, e.to}] || (s.drop != nil && s.drop(e)) {
		return
	}
	delay := minDelay + time.Duration(s.random.Int64N(int64(maxDelay-minDelay)))
	s.after(delay, func() { s.deliver(e) })
}

// deliver delivers a message to the current process of the VM. Messages to a paused agent are buffered
// until it resumes, those to a paused entry are lost.
func (s *Simulation) deliver(e envelope) {
	if host := s.world.entryHostOf(e.to); host != nil {
		if process := host.current(); process != nil && !process.paused {
			s.world.deliverEntry(process, e.message)
		}
		return
	}
	process := s.world.agentHostOf(e.to).current()
	switch {
	case process == nil:
	case process.paused:
		s.buffered[e.to] = append(s.buffered[e.to], e)
	default:
		s.world.deliverAgent(process, e.message)
	}
}

// resume resumes a paused agent, which handles the gap of its clock before the buffered messages.
func (s *Simulation) resume(process *agentProcess) {
	process.paused = false
	s.world.stepOwner(process, attempt.ClockGap{})
	buffered := s.buffered[process.host.vm]
	delete(s.buffered, process.host.vm)
	for _, e := range buffered {
		s.world.deliverAgent(process, e.message)
	}
}

func (s *Simulation) scheduleRunEnd(process *agentProcess, dispatch attempt.Dispatch) {
	if s.backendDown != nil && s.backendDown(process) {
		s.after(time.Millisecond, func() { s.refuseRun(process, dispatch.ID) })
		return
	}
	duration, crashes := s.serve(dispatch)
	s.after(duration, func() { s.endRun(process, dispatch.ID, crashes) })
}

func (s *Simulation) endRun(process *agentProcess, id attempt.AttemptID, crashes bool) {
	for i, dispatch := range process.running {
		if dispatch.ID != id || process.exited {
			continue
		}
		if process.paused {
			s.after(tickInterval, func() { s.endRun(process, id, crashes) })
			return
		}
		if crashes {
			s.world.crashBackend(process)
			if s.onCrash != nil {
				s.onCrash(process)
			}
			return
		}
		s.world.finishRun(process, i, servedOutcome)
		return
	}
}

// refuseRun ends a run with the outcome not run, since the backend server is down and did not start it.
func (s *Simulation) refuseRun(process *agentProcess, id attempt.AttemptID) {
	for i, dispatch := range process.running {
		if dispatch.ID == id && !process.exited {
			s.world.finishRun(process, i, outcome.Refused(outcome.CauseBackendError))
			return
		}
	}
}

// request describes one generated call.
type request struct {
	class template.ClassPlan
	key   string
	body  string
	entry int
}

// post starts a call at the request's entry, or at the next entry that is active. It returns false if
// there is none.
func (s *Simulation) post(r request) (ident.Request, bool) {
	entries := s.world.entries
	for i := range entries {
		process := entries[(r.entry+i)%len(entries)].current()
		if process == nil || process.paused {
			continue
		}
		s.world.nextID++
		call := attempt.Call{
			Request: ident.Request(fmt.Sprintf("r%07d", s.world.nextID)), Customer: "customer0", Class: r.class,
			Body: bodyDigest(r.body), Deadline: s.world.now.Add(r.class.Deadline),
		}
		if r.key != "" {
			call.RunKey = ident.NewRunKey(call.Customer, serviceName, r.key)
		}
		s.world.startCall(process, call)
		return call.Request, true
	}
	return "", false
}

func bodyDigest(body string) attempt.Digest { return sha256.Sum256([]byte(body)) }

// outcomeOf returns the outcome that the caller of a request received.
func (s *Simulation) outcomeOf(id ident.Request) outcome.Outcome {
	return s.world.record.calls[id].Outcome
}
