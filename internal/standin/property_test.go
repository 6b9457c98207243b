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

// callFaults are the faults that hit calls in the property tests.
var callFaults = []standin.FaultKind{
	standin.FaultSlow, standin.FaultLostRequest, standin.FaultLostAnswer, standin.FaultReordered, standin.FaultStale,
	standin.FaultGoingBack, standin.FaultHalf, standin.FaultHalfClean, standin.FaultHalfUnmarked, standin.FaultGarbage,
	standin.FaultRefusal, standin.FaultError, standin.FaultRedirect, standin.FaultSilent, standin.FaultSilentAnswer,
	standin.FaultLostEvent, standin.FaultDoubledEvent, standin.FaultReorderedEvents,
}

// told is what the caller of one call was told.
type told struct {
	id    ident.Request
	err   error
	right bool
}

// drawFaults returns a random table of faults.
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

// TestCallersAreToldTheTruth makes calls at random times under random faults and compares
// what callers were told with what the engine truly ran.
func TestCallersAreToldTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		calls := rapid.IntRange(1, 10).Draw(rt, "calls")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), calls, calls).Draw(rt, "pauses")
		crashAt := rapid.IntRange(-5, calls).Draw(rt, "crash")
		var broken error
		synctest.Test(t, func(t *testing.T) {
			w := newCallWorld(t, faults)
			for number, pause := range pauses {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				if number == crashAt {
					w.engine.Crash()
				}
				w.call(number)
			}
			w.group.Wait()
			time.Sleep(time.Minute)
			synctest.Wait()
			broken = w.check(calls)
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// callWorld is an engine under faults with its callers.
type callWorld struct {
	engine *standin.Engine
	client *platform.EngineClient
	group  sync.WaitGroup
	mu     sync.Mutex
	told   []told
}

func newCallWorld(t *testing.T, faults []standin.Fault) *callWorld {
	engine := standin.NewEngine(standin.EngineOptions{StepDelay: 100 * time.Millisecond, MaxRunning: 2, MaxWaiting: 2, RestartAfter: time.Second})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := newServer(t, standin.NewFaults(faults...).Wrap(engine))
	go server.Serve(l)
	client := platform.NewEngineClient(platform.Options{BaseURL: "http://10.0.0.1", Dial: l.dial, Timeout: callTimeout, IdleTimeout: callTimeout})
	t.Cleanup(func() { client.CloseIdle(); server.Close(); engine.Close() })
	return &callWorld{engine: engine, client: client}
}

// call makes a call, every second one streamed.
func (w *callWorld) call(number int) {
	id := ident.Request(fmt.Sprintf("r%d", number))
	w.group.Go(func() {
		text, err := w.answer(id, number%2 == 1)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.told = append(w.told, told{id: id, err: err, right: text == standin.Answer("m", string(id), 4)})
	})
}

func (w *callWorld) answer(id ident.Request, streamed bool) (string, error) {
	request := platform.EngineRequest{ID: id, Body: completionBody(string(id), 4, streamed)}
	if !streamed {
		got, err := w.client.Call(context.Background(), request)
		return got.Text, err
	}
	stream, err := w.client.Stream(context.Background(), request)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	return readAll(stream)
}

// check returns what a caller was told wrong, or what went on after all was over.
func (w *callWorld) check(calls int) error {
	if len(w.told) != calls {
		return fmt.Errorf("%d callers told, %d called", len(w.told), calls)
	}
	runs := w.engine.Runs()
	for _, answer := range w.told {
		if err := answer.compare(standin.RunsOfRequest(runs, answer.id)); err != nil {
			return fmt.Errorf("%s: %w", answer.id, err)
		}
	}
	if i := slices.IndexFunc(runs, func(r standin.Run) bool { return r.State == standin.RunRunning }); i >= 0 {
		return fmt.Errorf("%s still runs", runs[i].Request)
	}
	return nil
}

// compare compares what a caller was told with the number of runs.
func (a told) compare(runs int) error {
	var failure *platform.Error
	switch {
	case runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case a.err == nil && (!a.right || runs != 1):
		return fmt.Errorf("served a wrong answer, ran %d times", runs)
	case a.err != nil && !errors.As(a.err, &failure):
		return fmt.Errorf("untyped error: %w", a.err)
	case a.err != nil && !platform.MayHaveRun(a.err) && runs != 0:
		return fmt.Errorf("told that it did not run, but it ran: %w", a.err)
	}
	return nil
}
