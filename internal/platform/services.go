package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// MaxValueBytes is the greatest size of a value of the configuration service.
const MaxValueBytes = 1 << 20

// Value is one value of the configuration service at one revision.
type Value struct {
	Revision uint64
	Data     []byte
}

// ConfigService reads the platform's configuration service. It can't be written to.
type ConfigService interface {
	// Read returns the value of the key. With KindStale the older value is returned too.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the key has a revision greater than after and returns the value.
	// It returns ErrUnchanged if the service's wait ended first. Each Watch is one call
	// on the service. With KindStale the older value is returned too.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMStatus is one VM of the platform's list.
type VMStatus struct {
	VM    ident.VM `json:"vm"`
	State VMState  `json:"state"`
}

// VMList reads the platform's list of VMs, which lags behind the truth.
type VMList interface {
	// List returns all VMs on the list, sorted by VM.
	List(ctx context.Context) ([]VMStatus, error)
}

// WeightRef names one file of weights.
type WeightRef struct {
	Name    string
	Version string
}

// Fetched describes weights that were fetched whole.
type Fetched struct {
	Bytes int64
	// Digest is the xxhash of the bytes; it was compared with the store's.
	Digest uint64
}

// WeightStore fetches model, adapter and expert weights. It is rate-limited: an error of
// KindRefused carries how long to wait.
type WeightStore interface {
	// Fetch copies the weights to w. After an error w may hold a part.
	Fetch(ctx context.Context, ref WeightRef, w io.Writer) (Fetched, error)
}

// PlainRequest is one call on a plain service.
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
}

// PlainAnswer is the whole answer of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainService calls a plain service.
type PlainService interface {
	// Call sends the request once and returns the whole answer. Answers below 500 but
	// 429 are returned as answers, whether the service accepted the request or not.
	// Status 429, and 503 with Retry-After, are errors of KindRefused; any other 5xx
	// is an error of KindUnknown.
	Call(ctx context.Context, request PlainRequest) (PlainAnswer, error)
}
