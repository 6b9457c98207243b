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

// DefaultWatchWait is how long the configuration service is asked to hold a watch open. A
// watch on a dead connection times out after DefaultWatchWait+watchGrace, so this sum
// bounds how late a change is received.
const DefaultWatchWait = 3 * time.Second

// watchGrace is how long after the wait the response to a watch may still arrive.
const watchGrace = time.Second

// ConfigClient implements ConfigService over HTTP. It is safe for concurrent use.
type ConfigClient struct {
	*client
	wait time.Duration

	mu       sync.Mutex
	lastRead map[string]readValue
}

// readValue identifies the newest value of a key that this client has read.
type readValue struct {
	revision uint64
	digest   uint64
}

// NewConfigClient returns a client that asks the service to hold watches open for wait; 0
// means DefaultWatchWait. A Watch is bounded by wait plus watchGrace instead of Timeout.
// MaxAnswerBytes is replaced by MaxValueBytes.
func NewConfigClient(options Options, wait time.Duration) *ConfigClient {
	if wait == 0 {
		wait = DefaultWatchWait
	}
	options.MaxAnswerBytes = MaxValueBytes
	return &ConfigClient{client: newClient(options), wait: wait, lastRead: make(map[string]readValue)}
}

var _ ConfigService = (*ConfigClient)(nil)

// Read returns the current value of the key.
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
		detail := fmt.Sprintf("revision %d is not newer than %d", value.Revision, after)
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
	body, err := c.readBody(op, response, nil)
	if err != nil {
		return Value{}, err
	}
	got := bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if err := statusError(op, got); err != nil {
		return Value{}, err
	}
	return c.parseValue(op, key, got)
}

// parseValue decodes a response and compares its revision with the last one read.
func (c *ConfigClient) parseValue(op, key string, got bufferedResponse) (Value, error) {
	revision, err := strconv.ParseUint(got.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Value{}, &Error{Kind: KindGarbage, Op: op, Detail: "response without a valid revision header", Err: err}
	}
	value := Value{Revision: revision, Data: got.body}
	if err := c.checkRevision(key, value); err != nil {
		return value, &Error{Kind: KindStale, Op: op, Status: got.status, Err: err}
	}
	return value, nil
}

// Errors of values whose revision contradicts the last one read.
var (
	errOlderRevision  = errors.New("revision is older than the last one read")
	errReusedRevision = errors.New("revision has different content than when it was last read")
)

// checkRevision returns an error if the service went back to an older revision or changed the
// content of a revision, and records the value otherwise.
func (c *ConfigClient) checkRevision(key string, value Value) error {
	digest := xxhash.Sum64(value.Data)
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.lastRead[key]
	switch {
	case ok && value.Revision < last.revision:
		return fmt.Errorf("%w: %d after %d", errOlderRevision, value.Revision, last.revision)
	case ok && value.Revision == last.revision && digest != last.digest:
		return fmt.Errorf("%w: %d", errReusedRevision, value.Revision)
	}
	c.lastRead[key] = readValue{revision: value.Revision, digest: digest}
	return nil
}
