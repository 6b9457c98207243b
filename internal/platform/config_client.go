package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultWatchWait is how long the configuration service is asked to hold a watch. A
// watch whose connection has gone silent is noticed after this time and watchGrace, so
// that their sum bounds how late a change is seen.
const DefaultWatchWait = 3 * time.Second

// watchGrace is how long after the wait an answer to a watch is expected.
const watchGrace = time.Second

// ConfigClient is the ConfigService over HTTP.
type ConfigClient struct {
	*client
	wait time.Duration

	mu   sync.Mutex
	seen map[string]seenValue
}

// seenValue is the newest value of a key that this client has read.
type seenValue struct {
	revision uint64
	digest   uint64
}

// NewConfigClient returns a client that asks the service to hold watches for wait;
// 0 means DefaultWatchWait.
func NewConfigClient(options Options, wait time.Duration) *ConfigClient {
	if wait == 0 {
		wait = DefaultWatchWait
	}
	options.MaxAnswerBytes = MaxValueBytes
	return &ConfigClient{client: newClient(options), wait: wait, seen: make(map[string]seenValue)}
}

var _ ConfigService = (*ConfigClient)(nil)

// Read returns the value of the key.
func (c *ConfigClient) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.get(ctx, "config.read", key, "")
}

// Watch waits until the key has a revision greater than after and returns the value.
func (c *ConfigClient) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	const op = "config.watch"
	ctx, cancel := context.WithTimeout(ctx, c.wait+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", c.wait.String())
	value, err := c.get(ctx, op, key, "?"+query.Encode())
	if err != nil {
		return value, err
	}
	if value.Revision <= after {
		detail := fmt.Sprintf("revision %d does not follow %d", value.Revision, after)
		return value, &Error{Kind: KindStale, Op: op, Status: http.StatusOK, Detail: detail}
	}
	return value, nil
}

func (c *ConfigClient) get(ctx context.Context, op, key, query string) (Value, error) {
	request := c.base.New().Get("/v1/values/" + url.PathEscape(key) + query)
	response, err := c.send(ctx, op, request)
	if err != nil {
		return Value{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return Value{}, ErrUnchanged
	}
	body, err := c.readBody(op, response)
	if err != nil {
		return Value{}, err
	}
	got := answer{status: response.StatusCode, header: response.Header, body: body}
	if err := statusError(op, got); err != nil {
		return Value{}, err
	}
	return c.value(op, key, got)
}

// value decodes a value and compares it with what this client has read before.
func (c *ConfigClient) value(op, key string, got answer) (Value, error) {
	revision, err := strconv.ParseUint(got.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Value{}, &Error{Kind: KindGarbage, Op: op, Detail: "answer without revision", Err: err}
	}
	value := Value{Revision: revision, Data: got.body}
	if err := c.compare(key, value); err != nil {
		return value, &Error{Kind: KindStale, Op: op, Status: got.status, Err: err}
	}
	return value, nil
}

// Faults of the configuration service's order of revisions.
var (
	errOlderRevision  = errors.New("revision is older than one read before")
	errReusedRevision = errors.New("revision has other bytes than when it was read before")
)

func (c *ConfigClient) compare(key string, value Value) error {
	digest := xxhash.Sum64(value.Data)
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.seen[key]
	switch {
	case ok && value.Revision < last.revision:
		return fmt.Errorf("%w: %d after %d", errOlderRevision, value.Revision, last.revision)
	case ok && value.Revision == last.revision && digest != last.digest:
		return fmt.Errorf("%w: %d", errReusedRevision, value.Revision)
	}
	c.seen[key] = seenValue{revision: value.Revision, digest: digest}
	return nil
}
