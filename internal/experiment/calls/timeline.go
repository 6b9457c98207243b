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

// Timeline is a discrete-event simulation of a world whose network delays messages.
type Timeline struct {
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

// NewTimeline returns a simulation of a new world; the same seed gives the same results.
func NewTimeline(config Config, seed uint64) *Timeline {
	t := &Timeline{
		random:   rand.New(rand.NewPCG(seed, 0x5eed)),
		buffered: map[ident.VM][]envelope{},
	}
	t.serve = func(attempt.Dispatch) (time.Duration, bool) {
		return time.Duration(50+t.random.IntN(200)) * time.Millisecond, false
	}
	t.world = NewWorld(config)
	t.world.send = t.scheduleDelivery
	t.world.drainUntilKilled = true
	t.world.onRun = t.scheduleRunEnd
	pending := t.world.network
	t.world.network = nil
	for _, e := range pending {
		t.scheduleDelivery(e)
	}
	t.scheduleTick()
	return t
}

func (t *Timeline) after(wait time.Duration, do func()) {
	t.sequence++
	heap.Push(&t.queue, scheduled{at: t.world.now.Add(wait), sequence: t.sequence, action: do})
}

// run executes the scheduled events until the given time since the start.
func (t *Timeline) run(until time.Duration) {
	end := t.world.started.Add(until)
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		next := heap.Pop(&t.queue).(scheduled)
		t.world.now = next.at
		next.action()
	}
	t.world.now = end
}

func (t *Timeline) scheduleTick() {
	t.after(tickInterval, func() {
		t.world.tick()
		t.scheduleTick()
	})
}

func (t *Timeline) scheduleDelivery(e envelope) {
	if t.world.blocked[link{e.from, e.to}] || (t.drop != nil && t.drop(e)) {
		return
	}
	delay := minDelay + time.Duration(t.random.Int64N(int64(maxDelay-minDelay)))
	t.after(delay, func() { t.deliver(e) })
}

// deliver delivers a message to the current process of the VM. Messages to a paused agent are buffered
// until it resumes, those to a paused entry are lost.
func (t *Timeline) deliver(e envelope) {
	if host := t.world.entryHostOf(e.to); host != nil {
		if process := host.current(); process != nil && !process.paused {
			t.world.deliverEntry(process, e.message)
		}
		return
	}
	process := t.world.agentHostOf(e.to).current()
	switch {
	case process == nil:
	case process.paused:
		t.buffered[e.to] = append(t.buffered[e.to], e)
	default:
		t.world.deliverAgent(process, e.message)
	}
}

// resume resumes a paused agent, which handles the gap of its clock before the buffered messages.
func (t *Timeline) resume(process *agentProcess) {
	process.paused = false
	t.world.stepOwner(process, attempt.ClockGap{})
	buffered := t.buffered[process.host.vm]
	delete(t.buffered, process.host.vm)
	for _, e := range buffered {
		t.world.deliverAgent(process, e.message)
	}
}

func (t *Timeline) scheduleRunEnd(process *agentProcess, dispatch attempt.Dispatch) {
	if t.backendDown != nil && t.backendDown(process) {
		t.after(time.Millisecond, func() { t.refuseRun(process, dispatch.ID) })
		return
	}
	duration, crashes := t.serve(dispatch)
	t.after(duration, func() { t.endRun(process, dispatch.ID, crashes) })
}

func (t *Timeline) endRun(process *agentProcess, id attempt.Attempt, crashes bool) {
	for i, dispatch := range process.running {
		if dispatch.ID != id || process.exited {
			continue
		}
		if process.paused {
			t.after(tickInterval, func() { t.endRun(process, id, crashes) })
			return
		}
		if crashes {
			t.world.crashBackend(process)
			if t.onCrash != nil {
				t.onCrash(process)
			}
			return
		}
		t.world.finishRun(process, i, servedOutcome)
		return
	}
}

// refuseRun ends a run with the outcome not run, since the backend server is down and did not start it.
func (t *Timeline) refuseRun(process *agentProcess, id attempt.Attempt) {
	for i, dispatch := range process.running {
		if dispatch.ID == id && !process.exited {
			t.world.finishRun(process, i, outcome.Refused(outcome.CauseBackendError))
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
func (t *Timeline) post(r request) (ident.Request, bool) {
	entries := t.world.entries
	for i := range entries {
		process := entries[(r.entry+i)%len(entries)].current()
		if process == nil || process.paused {
			continue
		}
		t.world.nextID++
		call := attempt.Call{
			Request: ident.Request(fmt.Sprintf("r%07d", t.world.nextID)), Customer: "customer0", Class: r.class,
			Body: bodyDigest(r.body), Deadline: t.world.now.Add(r.class.Deadline),
		}
		if r.key != "" {
			call.RunKey = ident.NewRunKey(call.Customer, serviceName, r.key)
		}
		t.world.startCall(process, call)
		return call.Request, true
	}
	return "", false
}

func bodyDigest(body string) attempt.Digest { return sha256.Sum256([]byte(body)) }

// outcomeOf returns the outcome that the caller of a request received.
func (t *Timeline) outcomeOf(id ident.Request) outcome.Outcome {
	return t.world.record.calls[id].Outcome
}
