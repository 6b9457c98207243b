package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// callCase is a fault that is injected into one call, the kind of error that the caller gets
// ("" for none) and how often the backend server runs the request.
type callCase struct {
	fault standin.Fault
	kind  string
	runs  int
}

// callCases apply to every call whose response is not streamed.
var callCases = []callCase{
	{standin.Fault{Kind: standin.FaultSlow, Delay: time.Second}, "", 1},
	{standin.Fault{Kind: standin.FaultSlow, Delay: time.Minute}, "unknown", 1},
	{standin.Fault{Kind: standin.FaultLostRequest}, "unknown", 0},
	{standin.Fault{Kind: standin.FaultLostAnswer}, "unknown", 1},
	{standin.Fault{Kind: standin.FaultDoubled}, "", 2},
	{standin.Fault{Kind: standin.FaultReordered}, "unknown", 1},
	{standin.Fault{Kind: standin.FaultHalf}, "unknown", 1},
	{standin.Fault{Kind: standin.FaultHalfClean}, "garbage", 1},
	{standin.Fault{Kind: standin.FaultHalfUnmarked}, "garbage", 1},
	{standin.Fault{Kind: standin.FaultGarbage}, "garbage", 1},
	{standin.Fault{Kind: standin.FaultHuge, Bytes: hugeBytes}, "too-large", 1},
	{standin.Fault{Kind: standin.FaultRefusal}, "refused", 0},
	{standin.Fault{Kind: standin.FaultError}, "unknown", 1},
	{standin.Fault{Kind: standin.FaultSilent}, "unknown", 0},
	{standin.Fault{Kind: standin.FaultSilentAnswer}, "unknown", 1},
}

func (tc callCase) name() string {
	return fmt.Sprintf("%s-%s", tc.fault.Kind, tc.fault.Delay)
}

// check compares the caller's error and the number of runs with the case.
func (tc callCase) check(c *qt.C, err error, runs int) {
	c.Assert(errorKind(err), qt.Equals, tc.kind, qt.Commentf("%v", err))
	c.Assert(runs, qt.Equals, tc.runs)
	if err != nil && !platform.MayHaveRun(err) {
		c.Assert(runs, qt.Equals, 0)
	}
	if tc.fault.Kind == standin.FaultRefusal {
		c.Assert(platform.RetryAfterOf(err), qt.Equals, time.Second)
	}
}

func TestEngineCallContract(t *testing.T) {
	cases := append([]callCase{
		{standin.Fault{Kind: standin.FaultStale}, "garbage", 0},
		{standin.Fault{Kind: standin.FaultRedirect}, "garbage", 0},
	}, callCases...)
	for _, tc := range cases {
		t.Run(tc.name(), func(t *testing.T) {
			inBubble(t, func(c *qt.C) { testEngineCall(c, tc) })
		})
	}
}

// testEngineCall makes three calls and injects the fault into the second.
func testEngineCall(c *qt.C, tc callCase) {
	tc.fault.Skip, tc.fault.Count = 1, 1
	engine, client := newEngine(c, standin.EngineOptions{}, tc.fault)
	for number := range 3 {
		id := ident.Request(fmt.Sprintf("r%d", number))
		prompt := fmt.Sprintf("letter %d", number)
		got, err := client.Call(context.Background(), platform.EngineRequest{ID: id, Body: completionBody(prompt, 4, false)})
		if err == nil {
			c.Assert(got.Text, qt.Equals, standin.Answer("m", prompt, 4))
		}
		if number != 1 {
			c.Assert(err, qt.IsNil)
			continue
		}
		waitForLateRequests()
		tc.check(c, err, standin.CountRunsOfRequest(engine.Runs(), id))
	}
}

func TestPlainCallContract(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", `{"voucher":"v"}`} {
			for _, tc := range append([]callCase{{standin.Fault{Kind: standin.FaultRedirect}, "", 0}}, callCases...) {
				if tc.fault.Kind == standin.FaultGarbage {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%d", tc.name(), method, len(body)), func(t *testing.T) {
					inBubble(t, func(c *qt.C) { testPlainCall(c, tc, method, body) })
				})
			}
		}
	}
}

// testPlainCall makes three calls and injects the fault into the second.
func testPlainCall(c *qt.C, tc callCase, method, body string) {
	tc.fault.Skip, tc.fault.Count = 1, 1
	service := standin.NewPlain(standin.PlainOptions{})
	_, options := listen(c, standin.NewFaults(tc.fault).Wrap(service))
	client := platform.NewPlainClient(options)
	c.Cleanup(client.CloseIdle)
	for number := range 3 {
		path := fmt.Sprintf("/redemptions?n=%d", number)
		id := ident.Request(fmt.Sprintf("r%d", number))
		got, err := client.Call(context.Background(), platform.PlainRequest{
			ID: id, Key: string(id), Method: method, Path: path, Body: []byte(body),
		})
		if err == nil && got.Status == http.StatusOK {
			result, err := standin.ParseResult(got.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Result, qt.Equals, standin.Result(method+" "+path, []byte(body)))
		}
		if number != 1 {
			c.Assert(err, qt.IsNil)
			c.Assert(got.Status, qt.Equals, http.StatusOK)
			continue
		}
		waitForLateRequests()
		tc.check(c, err, standin.CountRunsOfKey(service.Runs(), string(id), nil))
	}
}

func TestPlainClientStatusErrors(t *testing.T) {
	cases := []struct {
		status     int
		retryAfter string
		kind       string
	}{
		{http.StatusOK, "", ""},
		{http.StatusConflict, "", ""},
		{http.StatusNotFound, "", ""},
		{http.StatusTooManyRequests, "2", "refused"},
		{http.StatusServiceUnavailable, "2", "refused"},
		{http.StatusServiceUnavailable, "", "unknown"},
		{http.StatusBadGateway, "2", "unknown"},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d/%s", tc.status, tc.retryAfter), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				_, options := listen(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if tc.retryAfter != "" {
						w.Header().Set("Retry-After", tc.retryAfter)
					}
					w.WriteHeader(tc.status)
				}))
				client := platform.NewPlainClient(options)
				c.Cleanup(client.CloseIdle)
				got, err := client.Call(context.Background(), platform.PlainRequest{Method: http.MethodPost, Path: "/x"})
				c.Assert(errorKind(err), qt.Equals, tc.kind)
				if err == nil {
					c.Assert(got.Status, qt.Equals, tc.status)
				}
			})
		})
	}
}

// TestPlainClientRejectsInvalidPathsAndMethods guards against requests that are sent to another
// host or with a method that is not forwarded. No connection may be opened for them.
func TestPlainClientRejectsInvalidPathsAndMethods(t *testing.T) {
	for _, path := range []string{"", "x", "//10.0.0.2/x", "http://10.0.0.2/x", "/%zz", "?x"} {
		t.Run(path, func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				l, options := listen(c, standin.NewPlain(standin.PlainOptions{}))
				client := platform.NewPlainClient(options)
				_, err := client.Call(context.Background(), platform.PlainRequest{Method: http.MethodPost, Path: path})
				c.Assert(errorKind(err), qt.Equals, "not-started")
				_, err = client.Call(context.Background(), platform.PlainRequest{Method: http.MethodTrace, Path: "/x"})
				c.Assert(errorKind(err), qt.Equals, "not-started")
				c.Assert(l.dialled.Load(), qt.Equals, int64(0))
			})
		})
	}
}

// TestPlainClientDropsCallerCredential guards against a caller's credential that is forwarded to
// the backend server instead of the client's own.
func TestPlainClientDropsCallerCredential(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		received := make(chan http.Header, 1)
		_, options := listen(c, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.Header }))
		options.Credential = "agent"
		client := platform.NewPlainClient(options)
		c.Cleanup(client.CloseIdle)
		header := http.Header{"authorization": {"Bearer caller"}, "Transfer-Encoding": {"x"}, "Accept": {"a", "b"}}
		_, err := client.Call(context.Background(), platform.PlainRequest{Method: http.MethodPost, Path: "/x", Header: header})
		c.Assert(err, qt.IsNil)
		got := <-received
		c.Assert(got["Authorization"], qt.DeepEquals, []string{"Bearer agent"})
		c.Assert(got["Accept"], qt.DeepEquals, []string{"a", "b"})
	})
}

func TestUnreachableServerGivesNotStarted(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine := standin.NewEngine(standin.EngineOptions{})
		c.Cleanup(engine.Close)
		l, options := listen(c, engine)
		l.unreachable.Store(true)
		client := platform.NewEngineClient(options)
		request := platform.EngineRequest{ID: "r", Body: completionBody("p", 1, false)}
		_, err := client.Call(context.Background(), request)
		c.Assert(errorKind(err), qt.Equals, "not-started")
		l.unreachable.Store(false)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = client.Call(ctx, request)
		c.Assert(platform.MayHaveRun(err), qt.IsFalse)
		waitForLateRequests()
		c.Assert(engine.Runs(), qt.HasLen, 0)
	})
}

func TestEngineChecksCredentials(t *testing.T) {
	cases := []struct {
		accepted []string
		kind     string
	}{{nil, ""}, {[]string{"agent-1"}, ""}, {[]string{"agent-2"}, "refused"}}
	for _, tc := range cases {
		t.Run(strings.Join(tc.accepted, ","), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				engine := standin.NewEngine(standin.EngineOptions{Credentials: tc.accepted})
				c.Cleanup(engine.Close)
				_, options := listen(c, engine)
				options.Credential = "agent-1"
				client := platform.NewEngineClient(options)
				c.Cleanup(client.CloseIdle)
				_, err := client.Order(context.Background(), platform.Order{ID: "o", Kind: platform.OrderSetRole, Role: platform.RoleDecode})
				c.Assert(errorKind(err), qt.Equals, tc.kind)
			})
		})
	}
}
