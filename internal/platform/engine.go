package platform

import (
	"context"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EngineRequest is one model call in the form of the OpenAI completions API.
type EngineRequest struct {
	// ID is unique; the engine returns it in its response.
	ID ident.Request
	// Priority orders the engine's queue; lower values go first.
	Priority int
	// Rank is the data-parallel rank that the request is sent to; nil lets the engine choose.
	Rank *ident.Rank
	// Body is the JSON body: model, prompt, max_tokens, stream.
	Body []byte
	// ReadBody reads the body of a response that is not streamed; nil reads it without an account of its memory.
	ReadBody BodyReader
}

// Usage holds the token counts of one model call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is the response to a model call that was not streamed.
type Completion struct {
	ID           ident.Request
	Text         string
	FinishReason string
	Usage        Usage
	// Raw is the JSON body as the engine sent it.
	Raw []byte
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Offset is the index of the chunk in the stream, starting at 0.
	Offset       uint64
	Text         string
	FinishReason string
	Usage        Usage
	// Raw is the JSON data of the event as the engine sent it.
	Raw []byte
}

// Stream is a streamed response. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next chunk, or io.EOF once the engine has marked the end of the
	// response. After any other error the stream may be resumed from Offset.
	Next() (Chunk, error)
	// Offset returns the offset of the chunk that Next returns next.
	Offset() uint64
	// Close closes the connection. It does not cancel the request at the engine.
	Close() error
}

// CancelState is the state of a request when it was cancelled.
type CancelState string

// The states of cancelled requests.
const (
	// CancelNotStarted means that the request did not start and that the engine will refuse
	// its ID from now on.
	CancelNotStarted CancelState = "not-started"
	// CancelStopped means that the request was running and has been stopped.
	CancelStopped CancelState = "stopped"
	// CancelFinished means that the request had already finished.
	CancelFinished CancelState = "finished"
)

// LoadReport is an engine's load as it was Age before the engine sent the report.
type LoadReport struct {
	// Boot is greater than 0 and increases with each start of the engine. A restart loses all
	// caches and requests.
	Boot uint64 `json:"boot"`
	// Sequence increases by 1 with each report of one boot.
	Sequence uint64 `json:"sequence"`
	// Age is how old the values are according to the engine.
	Age time.Duration `json:"age_ns"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVCacheUse is the used fraction of the KV cache, 0 to 1.
	KVCacheUse float64 `json:"kv_cache_use"`
	// PromptTokensPerSecond and GeneratedTokensPerSecond are recent rates.
	PromptTokensPerSecond    float64 `json:"prompt_tokens_per_second"`
	GeneratedTokensPerSecond float64 `json:"generated_tokens_per_second"`
}

// CacheEventKind is the kind of a prefix cache event.
type CacheEventKind string

// The kinds of prefix cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent reports blocks that were stored in or removed from an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// CacheEvents is one page of an engine's cache events.
type CacheEvents struct {
	Boot uint64 `json:"boot"`
	// Events are sorted by sequence number and free of duplicates.
	Events []CacheEvent `json:"events"`
	// Missing counts the sequence numbers in (after, Last] for which no event was received;
	// after is the argument of Engine.CacheEvents.
	Missing uint64 `json:"-"`
	// Last is the sequence number to pass as after in the next call.
	Last uint64 `json:"-"`
}

// Engine is the API of one model engine. Load, ReadBack and ExpertCounts return an error of
// KindStale for a report that is older than one read before.
type Engine interface {
	// Call runs a request whose body does not ask for a stream.
	Call(ctx context.Context, request EngineRequest) (Completion, error)
	// Stream starts a request whose body asks for a stream. Cancelling the context ends the stream.
	Stream(ctx context.Context, request EngineRequest) (Stream, error)
	// Resume continues the stream of a request from the offset. Callers that have received
	// the chunk with the finish reason have the whole response. A stream resumed after that
	// chunk ends with an error of KindGarbage, because the end mark alone does not show that
	// the response is complete.
	Resume(ctx context.Context, id ident.Request, from uint64) (Stream, error)
	// Cancel stops the request, or prevents it from starting if the engine has not received it.
	Cancel(ctx context.Context, id ident.Request) (CancelState, error)
	// Load returns the engine's newest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events with sequence numbers greater than after.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order sends an order and returns its state at the engine.
	Order(ctx context.Context, order Order) (OrderReceipt, error)
	// ReadBack returns the engine's current state, including the result of the last order.
	ReadBack(ctx context.Context) (EngineState, error)
	// ExpertCounts returns how many tokens were routed to each expert; the counts may be old.
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
}
