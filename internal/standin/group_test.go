package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

const groupRanks = 4

// newGroup returns a lock-step group and a client for each of its ranks.
func newGroup(c *qt.C, options standin.GroupOptions) (*standin.Group, []*platform.EngineClient) {
	options.Ranks = groupRanks
	group := standin.NewGroup(options)
	c.Cleanup(group.Close)
	clients := make([]*platform.EngineClient, groupRanks)
	for rank := range clients {
		_, clientOptions := listen(c, group.Rank(rank))
		clientOptions.Timeout = time.Hour
		clients[rank] = platform.NewEngineClient(clientOptions)
		c.Cleanup(clients[rank].CloseIdle)
	}
	return group, clients
}

// complete calls a rank with the prompt and checks the generated text.
func complete(client *platform.EngineClient, id ident.Request, prompt string, tokens int) error {
	got, err := client.Call(context.Background(), platform.EngineRequest{ID: id, Body: completionBody(prompt, tokens, false)})
	if err == nil && got.Text != standin.Answer("m", prompt, tokens) {
		return fmt.Errorf("unexpected completion text %q", got.Text)
	}
	return err
}

// activate orders a rank to use the map version from the step on.
func activate(c *qt.C, client *platform.EngineClient, version, step uint64) {
	receipt, err := client.Order(context.Background(), platform.Order{
		ID: fmt.Sprintf("activate-%d", version), Kind: platform.OrderActivateMap, Map: &platform.ExpertMap{Version: version}, Step: step,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(receipt.State, qt.Equals, platform.OrderDone)
}

func TestStragglerSlowsGroup(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		// rank/3 is 1 for the last of the four ranks and 0 for the others.
		group, clients := newGroup(c, standin.GroupOptions{
			Engine:    standin.EngineOptions{StepDelay: 30 * time.Millisecond},
			RankDelay: func(rank int, _ uint64) time.Duration { return time.Duration(rank/3) * 20 * time.Millisecond },
		})
		start := time.Now()
		c.Assert(complete(clients[0], "r", "p", 10), qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, 500*time.Millisecond)
		c.Assert(group.Report(), qt.Equals, standin.GroupReport{Steps: 10, SlowestSum: 500 * time.Millisecond, MeanSum: 350 * time.Millisecond})
		c.Assert(group.Report().Skew() > 0.42, qt.IsTrue)
	})
}

func TestGroupCountsStepsWithDifferentMaps(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		group, clients := newGroup(c, standin.GroupOptions{})
		for _, client := range clients {
			activate(c, client, 1, 5)
		}
		c.Assert(complete(clients[1], "a", "p", 10), qt.IsNil)
		c.Assert(group.Report().MixedMapSteps, qt.Equals, uint64(0))
		// The last rank switches to the map one step after the others.
		for rank, client := range clients {
			activate(c, client, 2, uint64(12+rank/3))
		}
		c.Assert(complete(clients[2], "b", "p", 10), qt.IsNil)
		c.Assert(group.Report(), qt.Equals, standin.GroupReport{Steps: 20, MixedMapSteps: 1})
	})
}

func TestGroupWaitsUntilAllRanksMayStep(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		group, clients := newGroup(c, standin.GroupOptions{Engine: standin.EngineOptions{GateSteps: true, OrderDelay: time.Second}})
		done := make(chan error, 1)
		go func() { done <- complete(clients[0], "r", "p", 5) }()
		for rank, client := range clients {
			synctest.Wait()
			c.Assert(group.Report().Steps, qt.Equals, uint64(0))
			receipt, err := client.Order(context.Background(), platform.Order{ID: "allow", Kind: platform.OrderAllowSteps, Step: 5 + uint64(rank)})
			c.Assert(err, qt.IsNil)
			c.Assert(receipt.State, qt.Equals, platform.OrderRunning)
			time.Sleep(time.Second)
		}
		c.Assert(<-done, qt.IsNil)
		c.Assert(group.Report().Steps, qt.Equals, uint64(5))
	})
}

func TestGroupCrashesAllRanks(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		group, clients := newGroup(c, standin.GroupOptions{
			Engine: standin.EngineOptions{StepDelay: time.Second, CrashMarker: "poison", RestartAfter: time.Minute},
		})
		concurrent := make(chan error, 1)
		go func() { concurrent <- complete(clients[0], "innocent", "p", 10) }()
		synctest.Wait()
		c.Assert(errorKind(complete(clients[3], "bad", "poison", 1)), qt.Equals, "unknown")
		c.Assert(errorKind(<-concurrent), qt.Equals, "unknown")
		time.Sleep(time.Minute)
		for rank := range clients {
			c.Assert(group.Rank(rank).Boot(), qt.Equals, uint64(2))
		}
		c.Assert(complete(clients[0], "again", "p", 10), qt.IsNil)
		group.Rank(2).Crash()
		c.Assert(group.Rank(0).Boot(), qt.Equals, uint64(3))
	})
}

// TestGroupRunsRequestsSubmittedWhileLoopEnds guards against a request that never runs because it
// is queued after the step loop found no work and before the loop ended.
func TestGroupRunsRequestsSubmittedWhileLoopEnds(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		group, _ := newGroup(c, standin.GroupOptions{})
		for number := range 10000 {
			request := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(completionBody("p", 1, false)))
			request.Header.Set(platform.HeaderRequestID, strconv.Itoa(number))
			answer := httptest.NewRecorder()
			group.Rank(0).ServeHTTP(answer, request)
			c.Assert(answer.Code, qt.Equals, http.StatusOK)
		}
	})
}
