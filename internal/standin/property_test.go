package standin_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// TestMain gives the property tests a fixed seed unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// callFaults are the kinds of faults that the property test injects: all except FaultDoubled,
// which runs requests twice, and FaultHuge, which sends 32 MiB by default.
var callFaults = []standin.FaultKind{
	standin.FaultSlow, standin.FaultLostRequest, standin.FaultLostAnswer, standin.FaultReordered, standin.FaultStale,
	standin.FaultGoingBack, standin.FaultHalf, standin.FaultHalfClean, standin.FaultHalfUnmarked, standin.FaultGarbage,
	standin.FaultRefusal, standin.FaultError, standin.FaultRedirect, standin.FaultSilent, standin.FaultSilentAnswer,
	standin.FaultLostEvent, standin.FaultDoubledEvent, standin.FaultReorderedEvents,
}

// callResult is the result of one call at its caller.
type callResult struct {
	id      ident.Request
	err     error
	correct bool
}

// drawFaults returns a random list of faults.
func drawFaults(t *rapid.T) []standin.Fault {
	faults := make([]standin.Fault, rapid.IntRange(0, 4).Draw(t, "faults"))
	for i := range faults {
		faults[i] = standin.Fault{
			Kind:  rapid.SampledFrom(callFaults).Draw(t, "kind"),
			Skip:  rapid.IntRange(0, 6).Draw(t, "skip"),
			Count: rapid.IntRange(1, 4).Draw(t, "count"),
			Delay: time.Duration(rapid.IntRange(1, 20).Draw(t, "delay")) * time.Second,
			Event: rapid.IntRange(0, 5).Draw(t, "event"),
		}
	}
	return faults
}

// TestCallResultsMatchRuns makes calls at random times under random faults. It guards against
// calls that run twice, wrong results, and errors that say that a request was not run although
// it was.
func TestCallResultsMatchRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		calls := rapid.IntRange(1, 10).Draw(rt, "calls")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), calls, calls).Draw(rt, "pauses")
		// The engine crashes before call number crashAt; a value that is no call number means no
		// crash.
		crashAt := rapid.IntRange(-5, calls).Draw(rt, "crash")
		var broken error
		synctest.Test(t, func(t *testing.T) {
			h := newCallHarness(t, faults)
			for number, pause := range pauses {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				if number == crashAt {
					h.engine.Crash()
				}
				h.call(number)
			}
			h.group.Wait()
			time.Sleep(time.Minute)
			synctest.Wait()
			broken = h.check(calls)
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// callHarness is an engine with injected faults and its callers.
type callHarness struct {
	engine  *standin.Engine
	client  *platform.EngineClient
	group   sync.WaitGroup
	mu      sync.Mutex
	results []callResult
}

func newCallHarness(t *testing.T, faults []standin.Fault) *callHarness {
	engine := standin.NewEngine(standin.EngineOptions{StepDelay: 100 * time.Millisecond, MaxRunning: 2, MaxWaiting: 2, RestartAfter: time.Second})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := newServer(t, standin.NewFaults(faults...).Wrap(engine))
	go server.Serve(l)
	client := platform.NewEngineClient(platform.Options{BaseURL: "http://10.0.0.1", Dial: l.dial, Timeout: callTimeout, IdleTimeout: callTimeout})
	t.Cleanup(func() { client.CloseIdle(); server.Close(); engine.Close() })
	return &callHarness{engine: engine, client: client}
}

// call makes a call, every second one streamed.
func (h *callHarness) call(number int) {
	id := ident.Request(fmt.Sprintf("r%d", number))
	h.group.Go(func() {
		text, err := h.callText(id, number%2 == 1)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.results = append(h.results, callResult{id: id, err: err, correct: text == standin.Answer("m", string(id), 4)})
	})
}

// callText makes a call and returns the text of the response.
func (h *callHarness) callText(id ident.Request, streamed bool) (string, error) {
	request := platform.EngineRequest{ID: id, Body: completionBody(string(id), 4, streamed)}
	if !streamed {
		got, err := h.client.Call(context.Background(), request)
		return got.Text, err
	}
	stream, err := h.client.Stream(context.Background(), request)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	return readAll(stream)
}

// check returns an error for a result that contradicts the engine's runs, or for a run that has
// not ended.
func (h *callHarness) check(calls int) error {
	if len(h.results) != calls {
		return fmt.Errorf("%d calls have a result, expected %d", len(h.results), calls)
	}
	runs := h.engine.Runs()
	for _, result := range h.results {
		if err := result.compare(standin.CountRunsOfRequest(runs, result.id)); err != nil {
			return fmt.Errorf("%s: %w", result.id, err)
		}
	}
	if i := slices.IndexFunc(runs, func(r standin.Run) bool { return r.State == standin.RunRunning }); i >= 0 {
		return fmt.Errorf("request %s is still running", runs[i].Request)
	}
	return nil
}

// compare checks the result against the number of runs.
func (r callResult) compare(runs int) error {
	var failure *platform.Error
	switch {
	case runs > 1:
		return fmt.Errorf("request ran %d times", runs)
	case r.err == nil && (!r.correct || runs != 1):
		return fmt.Errorf("wrong or unexpected response, request ran %d times", runs)
	case r.err != nil && !errors.As(r.err, &failure):
		return fmt.Errorf("error is not a *platform.Error: %w", r.err)
	case r.err != nil && !platform.MayHaveRun(r.err) && runs != 0:
		return fmt.Errorf("request ran, but the error says that it did not: %w", r.err)
	}
	return nil
}
