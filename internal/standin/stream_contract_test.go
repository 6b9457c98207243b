package standin_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

const (
	streamTokens = 6
	streamPrompt = "summary of the centre"
)

// streamCases are the faults that are injected into a stream, the kind of error that the caller
// gets ("" for none), how many tokens it receives before and how often the engine runs the
// request. Event streamTokens is the end mark, because the events of the tokens start at 0.
var streamCases = []struct {
	fault  standin.Fault
	kind   string
	tokens int
	runs   int
}{
	{standin.Fault{Kind: standin.FaultSlow, Delay: time.Second}, "", streamTokens, 1},
	{standin.Fault{Kind: standin.FaultSlow, Delay: time.Minute}, "unknown", 0, 1},
	{standin.Fault{Kind: standin.FaultLostRequest}, "unknown", 0, 0},
	{standin.Fault{Kind: standin.FaultLostAnswer}, "unknown", 0, 1},
	{standin.Fault{Kind: standin.FaultHalf, Event: 0}, "unknown", 0, 1},
	{standin.Fault{Kind: standin.FaultHalf, Event: 4}, "unknown", 4, 1},
	{standin.Fault{Kind: standin.FaultHalf, Event: streamTokens}, "unknown", streamTokens, 1},
	{standin.Fault{Kind: standin.FaultHalfClean, Event: 3}, "unknown", 3, 1},
	{standin.Fault{Kind: standin.FaultHalfClean, Event: streamTokens}, "unknown", streamTokens, 1},
	{standin.Fault{Kind: standin.FaultHalfUnmarked, Event: 3}, "unknown", 3, 1},
	{standin.Fault{Kind: standin.FaultLostEvent, Event: 0}, "garbage", 0, 1},
	{standin.Fault{Kind: standin.FaultLostEvent, Event: 2}, "garbage", 2, 1},
	{standin.Fault{Kind: standin.FaultLostEvent, Event: streamTokens - 1}, "garbage", streamTokens - 1, 1},
	{standin.Fault{Kind: standin.FaultLostEvent, Event: streamTokens}, "unknown", streamTokens, 1},
	{standin.Fault{Kind: standin.FaultDoubledEvent, Event: 2}, "", streamTokens, 1},
	{standin.Fault{Kind: standin.FaultReorderedEvents, Event: 2}, "garbage", 2, 1},
	{standin.Fault{Kind: standin.FaultReorderedEvents, Event: streamTokens - 1}, "garbage", streamTokens - 1, 1},
	{standin.Fault{Kind: standin.FaultGarbage}, "garbage", 0, 1},
	{standin.Fault{Kind: standin.FaultHuge, Bytes: hugeBytes}, "too-large", 0, 1},
	{standin.Fault{Kind: standin.FaultStale}, "garbage", 0, 0},
	{standin.Fault{Kind: standin.FaultRefusal}, "refused", 0, 0},
	{standin.Fault{Kind: standin.FaultError}, "unknown", 0, 1},
	{standin.Fault{Kind: standin.FaultSilent}, "unknown", 0, 0},
	{standin.Fault{Kind: standin.FaultSilentAnswer}, "unknown", 0, 1},
}

func TestEngineStreamContract(t *testing.T) {
	for _, tc := range streamCases {
		t.Run(fmt.Sprintf("%s-%d-%s", tc.fault.Kind, tc.fault.Event, tc.fault.Delay), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				tc.fault.Skip, tc.fault.Count = 1, 1
				engine, client := newEngine(c, standin.EngineOptions{}, tc.fault)
				_, _, err := readStream(client, "r0", "another prompt")
				c.Assert(err, qt.IsNil)
				text, offset, err := readStream(client, "r1", streamPrompt)
				c.Assert(errorKind(err), qt.Equals, tc.kind, qt.Commentf("%v", err))
				c.Assert(offset, qt.Equals, uint64(tc.tokens))
				waitForLateRequests()
				c.Assert(standin.CountRunsOfRequest(engine.Runs(), "r1"), qt.Equals, tc.runs)
				whole := standin.Answer("m", streamPrompt, streamTokens)
				c.Assert(strings.HasPrefix(whole, text), qt.IsTrue)
				checkResume(c, client, offset, whole[len(text):], tc.runs)
				c.Assert(standin.CountRunsOfRequest(engine.Runs(), "r1"), qt.Equals, tc.runs)
			})
		})
	}
}

// readStream makes a streamed call and returns the received text, the offset after it and the
// error that ended the stream.
func readStream(client *platform.EngineClient, id ident.Request, prompt string) (string, uint64, error) {
	stream, err := client.Stream(context.Background(), platform.EngineRequest{ID: id, Body: completionBody(prompt, streamTokens, true)})
	if err != nil {
		return "", 0, err
	}
	defer stream.Close()
	text, err := readAll(stream)
	return text, stream.Offset(), err
}

// checkResume checks that the rest of a stream can be resumed from the offset. Resume is refused
// if the request did not run. If all tokens were already received, the resumed stream holds only
// the end mark and gives an error of KindGarbage.
func checkResume(c *qt.C, client *platform.EngineClient, offset uint64, rest string, runs int) {
	stream, err := client.Resume(context.Background(), "r1", offset)
	if runs == 0 {
		c.Assert(errorKind(err), qt.Equals, "refused")
		return
	}
	c.Assert(err, qt.IsNil)
	if offset == streamTokens {
		_, err := stream.Next()
		c.Assert(errorKind(err), qt.Equals, "garbage")
		return
	}
	text, err := readAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, rest)
}

// TestStreamIdleTimeout checks that a stream without events ends after the idle timeout and can be
// resumed without a second run.
func TestStreamIdleTimeout(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine, client := newEngine(c, standin.EngineOptions{GateSteps: true})
		allowSteps(c, client, 1)
		text, offset, err := readStream(client, "r1", streamPrompt)
		c.Assert(errorKind(err), qt.Equals, "unknown")
		c.Assert(err, qt.ErrorMatches, ".*no event received within the idle timeout")
		c.Assert(offset, qt.Equals, uint64(1))
		allowSteps(c, client, 100)
		whole := standin.Answer("m", streamPrompt, streamTokens)
		checkResume(c, client, 1, whole[len(text):], 1)
		c.Assert(engine.Runs(), qt.HasLen, 1)
	})
}

func TestCancelReportsRequestState(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		ctx := context.Background()
		engine, client := newEngine(c, standin.EngineOptions{StepDelay: time.Second, MaxRunning: 1})
		running, err := client.Stream(ctx, platform.EngineRequest{ID: "running", Body: completionBody("p", 100, true)})
		c.Assert(err, qt.IsNil)
		_, err = running.Next()
		c.Assert(err, qt.IsNil)
		queued, err := client.Stream(ctx, platform.EngineRequest{ID: "queued", Body: completionBody("q", 1, true)})
		c.Assert(err, qt.IsNil)
		for _, tc := range []struct {
			id    ident.Request
			state platform.CancelState
		}{
			{"queued", platform.CancelNotStarted},
			{"never-sent", platform.CancelNotStarted},
			{"running", platform.CancelStopped},
			{"running", platform.CancelStopped},
		} {
			state, err := client.Cancel(ctx, tc.id)
			c.Assert(err, qt.IsNil)
			c.Assert(state, qt.Equals, tc.state, qt.Commentf("%s", tc.id))
		}
		for _, stream := range []platform.Stream{running, queued} {
			_, err := readAll(stream)
			c.Assert(errorKind(err), qt.Equals, "unknown")
		}
		_, err = client.Call(ctx, platform.EngineRequest{ID: "never-sent", Body: completionBody("p", 1, false)})
		c.Assert(errorKind(err), qt.Equals, "refused")
		waitForLateRequests()
		c.Assert(engine.Runs(), qt.HasLen, 1)
		c.Assert(engine.Runs()[0].State, qt.Equals, standin.RunCancelled)
		_, err = client.Call(ctx, platform.EngineRequest{ID: "done", Body: completionBody("p", 1, false)})
		c.Assert(err, qt.IsNil)
		state, err := client.Cancel(ctx, "done")
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, platform.CancelFinished)
	})
}
