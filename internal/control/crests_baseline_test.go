package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// meanGate is the dispatcher with the admission of the version before: the mean pass at the current skew. Without a bound
// it admits all that ranks queue.
type meanGate struct {
	bound   time.Duration
	random  *rand.Rand
	groups  []*meanGroup
	servers map[string]*routing.Server
	waiting []control.BackendRequest
}

type meanGroup struct {
	name         ident.Group
	servers      []*routing.Server
	pace         admission.GroupPace
	openAtReport int
}

func newMeanGate(bound time.Duration) func(day crestDay, entry int) crestDispatcher {
	return func(day crestDay, entry int) crestDispatcher {
		m := &meanGate{bound: bound, random: rand.New(rand.NewPCG(uint64(entry+1), 3)), servers: map[string]*routing.Server{}}
		for _, backend := range crestBackends(day.groups, day.ranks) {
			if backend.Rank == 0 {
				m.groups = append(m.groups, &meanGroup{name: backend.Group})
			}
			group := m.groups[len(m.groups)-1]
			server := &routing.Server{ListedBackend: backend}
			group.servers = append(group.servers, server)
			m.servers[backend.ID] = server
		}
		return m
	}
}

func (g *meanGroup) open() int {
	open := 0
	for _, server := range g.servers {
		open += server.Open
	}
	return open
}

// pass returns the predicted pass and the time that a writer adds to it.
func (g *meanGroup) pass(writers int) (pass, perWriter time.Duration) {
	factor := (1 - crestEngine.Experts.Share) + crestEngine.Experts.Share*max(g.pace.Skew, 1)
	perWriter = time.Duration(float64(crestEngine.PerWriter) * float64(crestEngine.StepsPerPass) * factor / float64(len(g.servers)))
	idle := crestEngine.Step * time.Duration(crestEngine.StepsPerPass)
	modelled := idle + perWriter*time.Duration(g.pace.Writers)
	if g.pace.Loading {
		modelled = time.Duration(1.15 * float64(modelled))
	}
	return max(idle, max(g.pace.Pass, modelled)+perWriter*time.Duration(writers-g.pace.Writers)), perWriter
}

func (m *meanGate) assign(now time.Time, request *control.BackendRequest) (control.Assignment, bool) {
	assignment := control.Assignment{Request: request.ID, PromptTokens: request.PromptTokens, Cause: outcome.CauseBackendsFull}
	var best *routing.Server
	var bestCost time.Duration
	bestRate := 0.0
	for _, group := range m.groups {
		writers := max(group.pace.Writers+(group.open()-group.openAtReport)*max(group.pace.Entries, 1), 0)
		pass, perWriter := group.pass(writers + 1)
		slots := crestEngine.Slots
		bound := time.Duration(0.9 * float64(m.bound))
		if m.bound == 0 {
			slots += 20
		} else if pass > bound {
			excess := max(int((pass-bound)/perWriter), 0)
			wait := time.Duration(float64(pass) * 22.6 / float64(max(writers, 1)) * float64(excess+len(m.waiting)+1))
			assignment.RetryAfter = max(assignment.RetryAfter, min(max(wait, 700*time.Millisecond), 2*time.Second))
			continue
		}
		rate := crestEngine.PromptRateFor(pass)
		for _, i := range m.random.Perm(len(group.servers)) {
			server := group.servers[i]
			if server.Load(now) >= slots {
				continue
			}
			cost := server.TimeToFirstEvent(now, request.PromptTokens, rate) + 2*pass + time.Duration(group.open())*time.Millisecond
			if best == nil || cost < bestCost || cost == bestCost && server.Load(now) < best.Load(now) {
				best, bestCost, bestRate = server, cost, rate
			}
		}
	}
	if best == nil {
		assignment.RetryAfter = max(assignment.RetryAfter, 700*time.Millisecond)
		return assignment, false
	}
	best.AddPrompt(now, request.PromptTokens, bestRate)
	best.RecordSend(now)
	assignment.Cause, assignment.Backend = outcome.CauseNone, best.ListedBackend
	return assignment, true
}

func (m *meanGate) RequestBackend(now time.Time, request control.BackendRequest) []control.Assignment {
	assignment, ok := m.assign(now, &request)
	if ok || !now.Before(request.WaitEnd()) {
		return []control.Assignment{assignment}
	}
	m.waiting = append(m.waiting, request)
	return nil
}

func (m *meanGate) Tick(now time.Time) []control.Assignment {
	var decided []control.Assignment
	full := false
	m.waiting = slices.DeleteFunc(m.waiting, func(request control.BackendRequest) bool {
		expired := !now.Before(request.WaitEnd())
		if full && !expired {
			return false
		}
		assignment, ok := m.assign(now, &request)
		full = !ok
		if ok || expired {
			decided = append(decided, assignment)
			return true
		}
		return false
	})
	return decided
}

func (m *meanGate) RecordGroupReport(now time.Time, report control.GroupReport) []control.Assignment {
	for _, group := range m.groups {
		if group.name == report.Group {
			group.pace, group.openAtReport = report.Pace, group.open()
			for rank, server := range group.servers {
				server.RecordReport(now, report.RankLoads[rank])
			}
		}
	}
	return m.Tick(now)
}

func (m *meanGate) RecordEnd(now time.Time, backend string, result routing.SendResult, latency time.Duration) []control.Assignment {
	server := m.servers[backend]
	server.Open--
	server.RecordResult(now, result, latency)
	return m.Tick(now)
}

func (m *meanGate) RecordRemoteSend(now time.Time, sent control.RemoteSend) {
	server := m.servers[fmt.Sprintf("%s-%d", sent.Group, sent.Rank)]
	server.RecordRemoteSend(now)
	server.AddPrompt(now, sent.PromptTokens, crestEngine.PromptRateFor(0))
}

func (m *meanGate) RecordProgress(ident.Group, time.Time) {}
