package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// MaxValueBytes is the maximum size of a value of the configuration service.
const MaxValueBytes = 1 << 20

// Value is the value of a key at one revision.
type Value struct {
	Revision uint64
	Data     []byte
}

// ConfigService is the read-only API of the platform's configuration service.
type ConfigService interface {
	// Read returns the value of the key. With an error of KindStale it also returns the
	// older value.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the key has a revision greater than after and returns the value.
	// It returns ErrUnchanged if the service ended the wait without one. A Watch is one
	// request; ConfigClient may send it again if a reused connection breaks before the
	// response. With an error of KindStale it also returns the older value.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of VMs.
const (
	VMLive VMState = "live"
	// VMLeaving means that the VM will be removed from the list.
	VMLeaving VMState = "leaving"
)

// VMStatus is one VM of the platform's list.
type VMStatus struct {
	VM    ident.VM `json:"vm"`
	State VMState  `json:"state"`
}

// VMList is the API of the platform's list of VMs. The list lags behind the actual state.
type VMList interface {
	// List returns all VMs on the list, sorted by name.
	List(ctx context.Context) ([]VMStatus, error)
}

// WeightRef identifies one weight file.
type WeightRef struct {
	Name    string
	Version string
}

// FetchResult describes a completed download of weights.
type FetchResult struct {
	Bytes int64
	// Digest is the xxhash64 of the bytes, verified against the store's.
	Digest uint64
}

// WeightStore is the API of the store of model, adapter and expert weights. The store is
// rate-limited: a call beyond the limit gives an error of KindRefused with the wait in
// RetryAfter. A missing file gives KindRefused with a RetryAfter of 0.
type WeightStore interface {
	// Fetch writes the weights to w. After an error, w may hold a part of them.
	Fetch(ctx context.Context, ref WeightRef, w io.Writer) (FetchResult, error)
}

// PlainRequest is one request to a plain service.
type PlainRequest struct {
	// ID is sent as X-Request-Id.
	ID ident.Request
	// Key is sent as Idempotency-Key; "" sends none.
	Key string
	// Method is GET, POST, PUT, PATCH or DELETE.
	Method string
	// Path is the URL path, with the query if there is one.
	Path   string
	Header http.Header
	Body   []byte
	// ReadBody reads the body of the response; nil reads it without an account of its memory.
	ReadBody BodyReader
}

// PlainAnswer is the response of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainService is the API of a plain service, an HTTP backend server that is not a model engine.
type PlainService interface {
	// Call sends the request once and returns the whole response. A response with a status
	// below 500 other than 429 is returned without error. Status 429, and 503 with
	// Retry-After, give an error of KindRefused; any other 5xx gives KindUnknown.
	Call(ctx context.Context, request PlainRequest) (PlainAnswer, error)
}
