package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EngineClient implements Engine over HTTP. It is safe for concurrent use.
type EngineClient struct {
	*client

	mu sync.Mutex
	// The newest reports that were read.
	lastLoad   position
	lastState  position
	lastCounts position
}

// position orders reports of one kind by boot, then by a number that increases within a boot.
type position struct {
	boot   uint64
	number uint64
}

func (p position) before(other position) bool {
	if p.boot != other.boot {
		return p.boot < other.boot
	}
	return p.number < other.number
}

// advance records the position of a report in last. It returns an error of KindStale if a
// newer report has been read.
func (c *EngineClient) advance(op string, last *position, next position) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.before(*last) {
		return &Error{Kind: KindStale, Op: op, Detail: fmt.Sprintf("report at %+v is older than report at %+v", next, *last)}
	}
	*last = next
	return nil
}

// NewEngineClient returns a client for the engine at the base URL.
func NewEngineClient(options Options) *EngineClient {
	return &EngineClient{client: newClient(options)}
}

var _ Engine = (*EngineClient)(nil)

const contentTypeJSON = "application/json"

// contentTypeEvents is the content type of streamed responses.
const contentTypeEvents = "text/event-stream"

func (c *EngineClient) completionRequest(request EngineRequest) *sling.Sling {
	s := c.base.New().Post("/v1/completions").
		Body(bytes.NewReader(request.Body)).
		Set("Content-Type", contentTypeJSON).
		Set(HeaderRequestID, string(request.ID)).
		Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.Rank != nil {
		s.Set(HeaderRank, strconv.Itoa(int(*request.Rank)))
	}
	return s
}

// Call runs a request whose body does not ask for a stream.
func (c *EngineClient) Call(ctx context.Context, request EngineRequest) (Completion, error) {
	const op = "engine.call"
	got, err := c.do(ctx, op, c.completionRequest(request), request.ReadBody)
	if err != nil {
		return Completion{}, err
	}
	if err := statusError(op, got); err != nil {
		return Completion{}, err
	}
	completion, err := decodeCompletion(got.body, request.ID)
	if err != nil {
		return Completion{}, &Error{Kind: KindGarbage, Op: op, Err: err}
	}
	return completion, nil
}

// Stream starts a request whose body asks for a stream.
func (c *EngineClient) Stream(ctx context.Context, request EngineRequest) (Stream, error) {
	return c.openStream(ctx, "engine.stream", request.ID, 0, c.completionRequest(request))
}

// Resume continues the stream of a request from the offset.
func (c *EngineClient) Resume(ctx context.Context, id ident.Request, from uint64) (Stream, error) {
	s := c.base.New().Get(requestPath(id, "stream") + "?from=" + strconv.FormatUint(from, 10))
	return c.openStream(ctx, "engine.resume", id, from, s)
}

func requestPath(id ident.Request, action string) string {
	return "/v1/requests/" + url.PathEscape(string(id)) + "/" + action
}

// openStream sends the request and checks that the response is a stream. The client's Timeout
// bounds the time until the response header arrives.
func (c *EngineClient) openStream(ctx context.Context, op string, id ident.Request, from uint64, request *sling.Sling) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.options.Timeout, cancel)
	response, err := c.startStream(ctx, op, request)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		response.Body.Close()
		return nil, &Error{Kind: KindUnknown, Op: op, Status: response.StatusCode, Detail: "timeout"}
	}
	return newEventStream(op, id, from, response, c.options.IdleTimeout, cancel), nil
}

func (c *EngineClient) startStream(ctx context.Context, op string, request *sling.Sling) (*http.Response, error) {
	response, err := c.send(ctx, op, request)
	if err != nil {
		return nil, err
	}
	if err := c.checkStream(op, response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

func (c *EngineClient) checkStream(op string, response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		body, err := c.readBody(op, response, nil)
		if err != nil {
			return err
		}
		return statusError(op, bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
	}
	contentType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	if contentType != contentTypeEvents {
		return &Error{Kind: KindGarbage, Op: op, Status: response.StatusCode, Detail: "response is not an event stream"}
	}
	return nil
}

// cancelBody is the JSON response to a cancel request.
type cancelBody struct {
	State CancelState `json:"state"`
}

// Cancel stops the request, or prevents it from starting.
func (c *EngineClient) Cancel(ctx context.Context, id ident.Request) (CancelState, error) {
	const op = "engine.cancel"
	var body cancelBody
	if err := c.doJSON(ctx, op, c.base.New().Post(requestPath(id, "cancel")), &body); err != nil {
		return "", err
	}
	switch body.State {
	case CancelNotStarted, CancelStopped, CancelFinished:
		return body.State, nil
	}
	return "", &Error{Kind: KindGarbage, Op: op, Detail: "unknown cancel state"}
}

// Load returns the engine's newest load report.
func (c *EngineClient) Load(ctx context.Context) (LoadReport, error) {
	const op = "engine.load"
	var report LoadReport
	if err := c.doJSON(ctx, op, c.base.New().Get("/v1/load"), &report); err != nil {
		return LoadReport{}, err
	}
	if !report.valid() {
		return LoadReport{}, &Error{Kind: KindGarbage, Op: op, Detail: "load report has values out of range"}
	}
	if err := c.advance(op, &c.lastLoad, position{report.Boot, report.Sequence}); err != nil {
		return LoadReport{}, err
	}
	return report, nil
}

func (r LoadReport) valid() bool {
	return r.Boot > 0 && r.Age >= 0 && r.Running >= 0 && r.Waiting >= 0 &&
		r.KVCacheUse >= 0 && r.KVCacheUse <= 1 &&
		r.PromptTokensPerSecond >= 0 && r.GeneratedTokensPerSecond >= 0
}

// CacheEvents returns the events with sequence numbers greater than after.
func (c *EngineClient) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	const op = "engine.cache-events"
	var page CacheEvents
	request := c.base.New().Get("/v1/cache/events?after=" + strconv.FormatUint(after, 10))
	if err := c.doJSON(ctx, op, request, &page); err != nil {
		return CacheEvents{}, err
	}
	if page.Boot == 0 {
		return CacheEvents{}, &Error{Kind: KindGarbage, Op: op, Detail: "cache events without boot number"}
	}
	for _, event := range page.Events {
		if !event.valid() {
			return CacheEvents{}, &Error{Kind: KindGarbage, Op: op, Detail: "invalid cache event"}
		}
	}
	page.normalize(after)
	return page, nil
}

func (e CacheEvent) valid() bool {
	switch e.Kind {
	case CacheStored, CacheEvicted, CacheCleared:
		return e.Sequence > 0
	}
	return false
}

// normalize sorts the events, drops duplicates and events up to after, and sets Last and
// Missing.
func (p *CacheEvents) normalize(after uint64) {
	events := slices.DeleteFunc(p.Events, func(e CacheEvent) bool { return e.Sequence <= after })
	slices.SortStableFunc(events, func(a, b CacheEvent) int {
		if a.Sequence < b.Sequence {
			return -1
		}
		if a.Sequence > b.Sequence {
			return 1
		}
		return 0
	})
	p.Events = slices.CompactFunc(events, func(a, b CacheEvent) bool { return a.Sequence == b.Sequence })
	p.Last = after
	if n := len(p.Events); n > 0 {
		p.Last = p.Events[n-1].Sequence
	}
	p.Missing = p.Last - after - uint64(len(p.Events))
}

// Order sends an order and returns its state at the engine.
func (c *EngineClient) Order(ctx context.Context, order Order) (OrderReceipt, error) {
	const op = "engine.order"
	var receipt OrderReceipt
	if err := c.doJSON(ctx, op, c.base.New().Post("/v1/orders").BodyJSON(order), &receipt); err != nil {
		return OrderReceipt{}, err
	}
	if receipt.ID != order.ID {
		return OrderReceipt{}, &Error{Kind: KindGarbage, Op: op, Detail: "receipt has the ID of another order"}
	}
	if !receipt.State.valid() {
		return OrderReceipt{}, &Error{Kind: KindGarbage, Op: op, Detail: "unknown order state"}
	}
	return receipt, nil
}

func (s OrderState) valid() bool {
	switch s {
	case OrderRunning, OrderDone, OrderFailed:
		return true
	}
	return false
}

// ReadBack returns the engine's current state, including the result of the last order.
func (c *EngineClient) ReadBack(ctx context.Context) (EngineState, error) {
	const op = "engine.read-back"
	var state EngineState
	if err := c.doJSON(ctx, op, c.base.New().Get("/v1/orders/state"), &state); err != nil {
		return EngineState{}, err
	}
	if state.Boot == 0 || state.LastState != OrderNone && !state.LastState.valid() {
		return EngineState{}, &Error{Kind: KindGarbage, Op: op, Detail: "engine state has no boot number or an unknown order state"}
	}
	if err := c.advance(op, &c.lastState, position{state.Boot, state.Step}); err != nil {
		return EngineState{}, err
	}
	return state, nil
}

// ExpertCounts returns how many tokens were routed to each expert.
func (c *EngineClient) ExpertCounts(ctx context.Context) (ExpertCounts, error) {
	const op = "engine.expert-counts"
	var counts ExpertCounts
	if err := c.doJSON(ctx, op, c.base.New().Get("/v1/experts/counts"), &counts); err != nil {
		return ExpertCounts{}, err
	}
	if counts.Boot == 0 {
		return ExpertCounts{}, &Error{Kind: KindGarbage, Op: op, Detail: "expert counts without boot number"}
	}
	if err := c.advance(op, &c.lastCounts, position{counts.Boot, counts.Step}); err != nil {
		return ExpertCounts{}, err
	}
	return counts, nil
}
