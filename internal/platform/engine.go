package platform

import (
	"context"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EngineRequest is one model call in the usual completions form.
type EngineRequest struct {
	// ID is unique; the engine's answer carries it.
	ID ident.Request
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Rank is the rank that the request enters at; nil lets the engine choose.
	Rank *ident.Rank
	// Body is the JSON body: model, prompt, max_tokens, stream.
	Body []byte
}

// Usage counts the tokens of one model call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Completion is the whole answer to a model call.
type Completion struct {
	ID           ident.Request
	Text         string
	FinishReason string
	Usage        Usage
	// Raw is the JSON body as the engine sent it.
	Raw []byte
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Offset is the position of the chunk in the stream, from 0, without gaps.
	Offset       uint64
	Text         string
	FinishReason string
	Usage        Usage
	// Raw is the JSON data of the event as the engine sent it.
	Raw []byte
}

// Stream is a streamed answer. It is used by one goroutine at a time.
type Stream interface {
	// Next returns the next chunk; io.EOF after the engine marked the end of the answer.
	// Any other end is an error, after which the stream may be resumed from Offset.
	Next() (Chunk, error)
	// Offset returns the offset of the chunk that Next returns next.
	Offset() uint64
	// Close gives the connection up. It does not cancel the request at the engine.
	Close() error
}

// CancelState says what a cancelled request had come to.
type CancelState string

// The states of cancelled requests.
const (
	// CancelNotStarted means that the request did not start and that the engine will refuse its id.
	CancelNotStarted CancelState = "not-started"
	// CancelStopped means that the request ran in part and was stopped.
	CancelStopped CancelState = "stopped"
	// CancelFinished means that the request had ended before.
	CancelFinished CancelState = "finished"
)

// LoadReport is an engine's load; it lags.
type LoadReport struct {
	// Boot numbers the starts of the engine, growing; all its caches and requests are lost with each.
	Boot uint64 `json:"boot"`
	// Sequence grows by 1 with each report of one boot.
	Sequence uint64 `json:"sequence"`
	// Age is how old the figures are, as far as the engine knows.
	Age time.Duration `json:"age_ns"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVCacheUse is the used share of the KV cache, 0 to 1.
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

// CacheEvent tells of blocks that entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// CacheEvents is a part of an engine's cache events.
type CacheEvents struct {
	Boot uint64 `json:"boot"`
	// Events are sorted by sequence number, without doubles.
	Events []CacheEvent `json:"events"`
	// Missing counts the sequence numbers between the asked one and the last that were not sent.
	Missing uint64 `json:"-"`
	// Last is the sequence number to ask after next.
	Last uint64 `json:"-"`
}

// Engine calls one model engine. Reports that are older than one read before are errors
// of KindStale.
type Engine interface {
	// Call runs a request whose body does not ask for a stream.
	Call(ctx context.Context, request EngineRequest) (Completion, error)
	// Stream starts a request whose body asks for a stream. The context bounds the whole stream.
	Stream(ctx context.Context, request EngineRequest) (Stream, error)
	// Resume continues the stream of a request from the offset. Who has the chunk with
	// the finish reason has the whole answer; resuming behind it is an error of KindGarbage,
	// since the end mark alone does not show that the answer is whole.
	Resume(ctx context.Context, id ident.Request, from uint64) (Stream, error)
	// Cancel stops the request, or keeps it from ever starting.
	Cancel(ctx context.Context, id ident.Request) (CancelState, error)
	// Load returns the engine's last load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with greater sequence numbers than after.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order gives an order and returns what the engine made of it.
	Order(ctx context.Context, order Order) (OrderReceipt, error)
	// ReadBack returns the state that the orders have led to.
	ReadBack(ctx context.Context) (EngineState, error)
	// ExpertCounts returns how many tokens were routed to each expert; it may lag.
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
}
