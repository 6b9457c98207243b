package standin_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

func TestEngineRunsRequestsByPriority(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine, client := newEngine(c, standin.EngineOptions{StepDelay: time.Second, MaxRunning: 1})
		var group sync.WaitGroup
		// Lower priority values run first, so the last request overtakes the second.
		for index, id := range []ident.Request{"first", "late", "soon"} {
			group.Go(func() {
				request := platform.EngineRequest{ID: id, Priority: -index, Body: completionBody(string(id), 1, false)}
				_, err := client.Call(context.Background(), request)
				c.Check(err, qt.IsNil)
			})
			synctest.Wait()
		}
		group.Wait()
		var order []ident.Request
		for _, run := range engine.Runs() {
			order = append(order, run.Request)
		}
		c.Assert(order, qt.DeepEquals, []ident.Request{"first", "soon", "late"})
	})
}

func TestEngineBatchesContinuously(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, client := newEngine(c, standin.EngineOptions{StepDelay: 100 * time.Millisecond, BatchDelay: 10 * time.Millisecond})
		start := time.Now()
		var group sync.WaitGroup
		for _, id := range []ident.Request{"a", "b", "c"} {
			group.Go(func() {
				_, err := client.Call(context.Background(), platform.EngineRequest{ID: id, Body: completionBody("p", 5, false)})
				c.Check(err, qt.IsNil)
			})
			synctest.Wait()
		}
		group.Wait()
		// One step with the first request alone, four with all three, and one with the other two.
		c.Assert(time.Since(start), qt.Equals, (100+4*120+110)*time.Millisecond)
	})
}

func TestEngineRefusesRequestsWhenQueueIsFull(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine, client := newEngine(c, standin.EngineOptions{StepDelay: time.Second, MaxRunning: 1, MaxWaiting: 1})
		for _, id := range []ident.Request{"a", "b"} {
			stream, err := client.Stream(context.Background(), platform.EngineRequest{ID: id, Body: completionBody("p", 1, true)})
			c.Assert(err, qt.IsNil)
			defer stream.Close()
			synctest.Wait()
		}
		_, err := client.Call(context.Background(), platform.EngineRequest{ID: "c", Body: completionBody("p", 1, false)})
		c.Assert(errorKind(err), qt.Equals, "refused")
		c.Assert(platform.RetryAfterOf(err), qt.Equals, time.Second)
		waitForLateRequests()
		c.Assert(engine.Runs(), qt.HasLen, 2)
	})
}

func TestEngineCrashesOnMarkedRequest(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine, client := newEngine(c, standin.EngineOptions{StepDelay: time.Second, CrashMarker: "poison", RestartAfter: time.Minute})
		ctx := context.Background()
		concurrent, err := client.Stream(ctx, platform.EngineRequest{ID: "innocent", Body: completionBody("p", 9, true)})
		c.Assert(err, qt.IsNil)
		_, err = concurrent.Next()
		c.Assert(err, qt.IsNil)
		_, err = client.Call(ctx, platform.EngineRequest{ID: "bad", Body: completionBody("poison", 1, false)})
		c.Assert(errorKind(err), qt.Equals, "unknown")
		_, err = readAll(concurrent)
		c.Assert(errorKind(err), qt.Equals, "unknown")
		_, err = client.Load(ctx)
		c.Assert(errorKind(err), qt.Equals, "unknown")
		for _, run := range engine.Runs() {
			c.Assert(run.State, qt.Equals, standin.RunCrashed)
		}
		time.Sleep(time.Minute)
		load, err := client.Load(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(load.Boot, qt.Equals, uint64(2))
		c.Assert(load.Running, qt.Equals, 0)
		_, err = client.Resume(ctx, "innocent", 1)
		c.Assert(errorKind(err), qt.Equals, "refused")
	})
}

func TestPlainServiceCrashesOnMarkedRequest(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		service := standin.NewPlain(standin.PlainOptions{Delay: time.Second, CrashMarker: "poison", RestartAfter: time.Minute, MaxRunning: 2})
		_, options := listen(c, service)
		client := platform.NewPlainClient(options)
		c.Cleanup(client.CloseIdle)
		call := func(body string) string {
			_, err := client.Call(context.Background(), platform.PlainRequest{Method: "POST", Path: "/postings", Body: []byte(body)})
			return errorKind(err)
		}
		concurrent := make(chan string, 1)
		go func() { concurrent <- call("innocent") }()
		synctest.Wait()
		c.Assert(call("poison"), qt.Equals, "unknown")
		c.Assert(<-concurrent, qt.Equals, "unknown")
		c.Assert(call("too early"), qt.Equals, "unknown")
		time.Sleep(time.Minute)
		c.Assert(call("innocent"), qt.Equals, "")
		runs := service.Runs()
		c.Assert(runs, qt.HasLen, 3)
		c.Assert([]standin.RunState{runs[0].State, runs[1].State, runs[2].State}, qt.DeepEquals,
			[]standin.RunState{standin.RunCrashed, standin.RunCrashed, standin.RunFinished})
		c.Assert(standin.DuplicateRuns(runs, "POST /postings"), qt.HasLen, 1)
		c.Assert(standin.DuplicateRuns(runs, "POST /other"), qt.HasLen, 0)
	})
}

func TestPrefixCacheHitsAndEvictions(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, client := newEngine(c, standin.EngineOptions{CacheBlocks: 4})
		prefix := strings.Repeat("rulebook ", 64)[:2*platform.PrefixBlockBytes]
		call := func(id ident.Request, prompt string) int {
			got, err := client.Call(context.Background(), platform.EngineRequest{ID: id, Body: completionBody(prompt, 1, false)})
			c.Assert(err, qt.IsNil)
			return got.Usage.CachedTokens
		}
		c.Assert(call("a", prefix+"one"), qt.Equals, 0)
		// A prompt token has 4 bytes.
		c.Assert(call("b", prefix+"two"), qt.Equals, 2*platform.PrefixBlockBytes/4)
		c.Assert(call("c", strings.Repeat("another ", 64)[:4*platform.PrefixBlockBytes]), qt.Equals, 0)
		c.Assert(call("d", prefix+"three"), qt.Equals, 0)
	})
}
