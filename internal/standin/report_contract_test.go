package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

func TestReportReadContract(t *testing.T) {
	cases := withCases(readCases, readCase{standin.Fault{Kind: standin.FaultStale}, "stale"})
	reads := map[string]func(client *platform.EngineClient) error{
		"load": func(client *platform.EngineClient) error {
			_, err := client.Load(context.Background())
			return err
		},
		"read-back": func(client *platform.EngineClient) error {
			_, err := client.ReadBack(context.Background())
			return err
		},
		"expert-counts": func(client *platform.EngineClient) error {
			_, err := client.ExpertCounts(context.Background())
			return err
		},
	}
	for name, read := range reads {
		t.Run(name, func(t *testing.T) {
			runReadCases(t, cases, func(c *qt.C, faults *standin.Faults) (func() error, func()) {
				engine := standin.NewEngine(standin.EngineOptions{Layers: 2, Experts: 4})
				c.Cleanup(engine.Close)
				faulty := faults.Wrap(engine)
				var bypass atomic.Bool
				_, options := listen(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if bypass.Load() {
						engine.ServeHTTP(w, r)
						return
					}
					faulty.ServeHTTP(w, r)
				}))
				client := platform.NewEngineClient(options)
				c.Cleanup(client.CloseIdle)
				// The client reads a newer report that bypasses the faults, so that it can detect a
				// stale one.
				change := func() {
					bypass.Store(true)
					defer bypass.Store(false)
					_, err := client.Call(context.Background(), platform.EngineRequest{ID: "r", Body: completionBody("p", 3, false)})
					c.Assert(err, qt.IsNil)
					c.Assert(read(client), qt.IsNil)
				}
				return func() error { return read(client) }, change
			})
		})
	}
}

func TestCacheEventsContract(t *testing.T) {
	// A stale page of events is no error: the client does not record which page it read last, and
	// callers detect old events by their sequence numbers.
	cases := withCases(readCases, readCase{standin.Fault{Kind: standin.FaultStale}, ""})
	runReadCases(t, cases, func(c *qt.C, faults *standin.Faults) (func() error, func()) {
		engine := standin.NewEngine(standin.EngineOptions{})
		c.Cleanup(engine.Close)
		_, options := listen(c, faults.Wrap(engine))
		client := platform.NewEngineClient(options)
		c.Cleanup(client.CloseIdle)
		read := func() error {
			_, err := client.CacheEvents(context.Background(), 0)
			return err
		}
		return read, func() {}
	})
}

func TestCacheEventsDelayAndGaps(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, client := newEngine(c, standin.EngineOptions{CacheGapEvery: 2, CacheEventDelay: time.Second})
		ctx := context.Background()
		for n := range 5 {
			prompt := fmt.Sprintf("%0*d", platform.PrefixBlockBytes, n)
			_, err := client.Call(ctx, platform.EngineRequest{ID: ident.Request(prompt), Body: completionBody(prompt, 1, false)})
			c.Assert(err, qt.IsNil)
		}
		page, err := client.CacheEvents(ctx, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Events, qt.HasLen, 0)
		time.Sleep(time.Second)
		page, err = client.CacheEvents(ctx, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Missing, qt.Equals, uint64(2))
		c.Assert(page.Last, qt.Equals, uint64(5))
		c.Assert(page.Events[0].Blocks, qt.DeepEquals, platform.PrefixBlocks(fmt.Sprintf("%0*d", platform.PrefixBlockBytes, 2)))
	})
}

func TestCacheEventsAreNormalized(t *testing.T) {
	cases := []struct {
		body    string
		kind    string
		order   string
		missing uint64
	}{
		{`{"boot":1,"events":[{"sequence":9,"kind":"stored"},{"sequence":7,"kind":"evicted"},{"sequence":9,"kind":"stored"},{"sequence":4,"kind":"stored"}]}`, "", "[7 9]", 2},
		{`{"boot":1,"events":[]}`, "", "[]", 0},
		{`{"boot":1,"events":[{"sequence":0,"kind":"stored"}]}`, "garbage", "[]", 0},
		{`{"boot":1,"events":[{"sequence":8,"kind":"melted"}]}`, "garbage", "[]", 0},
		{`{"boot":0}`, "garbage", "[]", 0},
		{`{"boot":1,"events":[{"sequence":-8,"kind":"stored"}]}`, "garbage", "[]", 0},
	}
	for _, tc := range cases {
		t.Run(tc.body, func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				_, options := listen(c, respondWith(tc.body))
				client := platform.NewEngineClient(options)
				c.Cleanup(client.CloseIdle)
				page, err := client.CacheEvents(context.Background(), 5)
				c.Assert(errorKind(err), qt.Equals, tc.kind)
				sequences := []uint64{}
				for _, event := range page.Events {
					sequences = append(sequences, event.Sequence)
				}
				c.Assert(fmt.Sprint(sequences), qt.Equals, tc.order)
				c.Assert(page.Missing, qt.Equals, tc.missing)
			})
		})
	}
}

func TestLoadReportLags(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, client := newEngine(c, standin.EngineOptions{StepDelay: time.Second, LoadLag: 3 * time.Second})
		stream, err := client.Stream(context.Background(), platform.EngineRequest{ID: "r", Body: completionBody("prompt.", 10, true)})
		c.Assert(err, qt.IsNil)
		defer stream.Close()
		var running []int
		for range 5 {
			time.Sleep(time.Second)
			load, err := client.Load(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(load.Age, qt.Equals, 3*time.Second)
			running = append(running, load.Running)
		}
		c.Assert(running, qt.DeepEquals, []int{0, 0, 1, 1, 1})
	})
}
