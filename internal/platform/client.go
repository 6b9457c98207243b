package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dghubble/sling"
)

// Default limits of clients.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxAnswerBytes = 16 << 20
)

// maxRefusalBytes bounds how much of a refusal's body is kept as its detail.
const maxRefusalBytes = 256

// Headers of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Request-Priority"
	HeaderRank           = "X-Data-Parallel-Rank"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRevision       = "Config-Revision"
	// HeaderDigest is the xxhash of the body in hexadecimal; it is checked where it is sent.
	HeaderDigest = "X-Content-Xxhash"
)

// Options are the settings of one client.
type Options struct {
	// BaseURL is the scheme, IP address and port of the other side.
	BaseURL string
	// Credential is sent as bearer token; "" sends none. Back ends that check who
	// gives them orders compare it.
	Credential string
	// Timeout bounds a whole call, and the start of a stream; 0 means DefaultTimeout. A
	// call's context may bound it further, but not extend it.
	Timeout time.Duration
	// ConnectTimeout bounds the opening of a connection; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// IdleTimeout bounds the silence on a stream; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxAnswerBytes bounds the body of an answer; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return o
}

// client is the part that all clients share.
type client struct {
	options Options
	base    *sling.Sling
	http    *http.Client
	// readsOnce is true if even GET requests must not be sent twice.
	readsOnce bool
}

func newClient(options Options) *client {
	options = options.withDefaults()
	base := sling.New().Base(options.BaseURL)
	if options.Credential != "" {
		base.Set("Authorization", "Bearer "+options.Credential)
	}
	return &client{
		options: options,
		base:    base,
		http: &http.Client{
			Transport:     newTransport(options),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// CloseIdle closes connections that no call uses.
func (c *client) CloseIdle() { c.http.CloseIdleConnections() }

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request once and reads the whole answer.
func (c *client) do(ctx context.Context, op string, request *sling.Sling) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.send(ctx, op, request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := c.readBody(op, response)
	if err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// send sends the request once and returns the answer's header with the open body.
func (c *client) send(ctx context.Context, op string, request *sling.Sling) (*http.Response, error) {
	httpRequest, err := request.Request()
	if err != nil {
		return nil, &Error{Kind: KindNotStarted, Op: op, Err: err}
	}
	if c.readsOnce || httpRequest.Method != http.MethodGet {
		sendOnce(httpRequest)
	}
	var sent sendTrace
	ctx = httptrace.WithClientTrace(ctx, sent.hooks())
	response, err := c.http.Do(httpRequest.WithContext(ctx))
	if err != nil {
		kind := KindUnknown
		if sent.nothingWritten() {
			kind = KindNotStarted
		}
		return nil, &Error{Kind: kind, Op: op, Err: err}
	}
	return response, nil
}

// readBody reads the whole body of an answer whose length is known to the protocol.
func (c *client) readBody(op string, response *http.Response) ([]byte, error) {
	if !endIsMarked(response) {
		return nil, &Error{Kind: KindGarbage, Op: op, Status: response.StatusCode, Detail: "answer without length"}
	}
	if response.ContentLength > c.options.MaxAnswerBytes {
		return nil, c.tooLarge(op, response)
	}
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	read, err := body.ReadFrom(io.LimitReader(response.Body, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, &Error{Kind: KindUnknown, Op: op, Status: response.StatusCode, Detail: "answer broke off", Err: err}
	}
	if read > c.options.MaxAnswerBytes {
		return nil, c.tooLarge(op, response)
	}
	if err := checkDigest(response.Header, body.Bytes()); err != nil {
		return nil, &Error{Kind: KindGarbage, Op: op, Status: response.StatusCode, Err: err}
	}
	return body.Bytes(), nil
}

// errDigest means that an answer has other bytes than its sender had.
var errDigest = errors.New("answer does not match its digest")

// checkDigest compares a body with the digest in the header, if there is one.
func checkDigest(header http.Header, body []byte) error {
	text := header.Get(HeaderDigest)
	if text == "" {
		return nil
	}
	want, err := strconv.ParseUint(text, 16, 64)
	if err != nil || want != xxhash.Sum64(body) {
		return errDigest
	}
	return nil
}

func (c *client) tooLarge(op string, response *http.Response) error {
	return &Error{
		Kind: KindTooLarge, Op: op, Status: response.StatusCode,
		Detail: fmt.Sprintf("answer exceeds %d bytes", c.options.MaxAnswerBytes),
	}
}

// endIsMarked reports whether a cut answer can be told from a whole one.
func endIsMarked(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// doJSON sends the request once and decodes the JSON object of a 200 answer into out.
func (c *client) doJSON(ctx context.Context, op string, request *sling.Sling, out any) error {
	got, err := c.do(ctx, op, request)
	if err != nil {
		return err
	}
	if err := statusError(op, got); err != nil {
		return err
	}
	return decodeJSON(op, got.body, out)
}

func decodeJSON(op string, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Kind: KindGarbage, Op: op, Detail: "answer is not the expected JSON", Err: err}
	}
	return nil
}

// statusError returns the error that an answer's status stands for, nil for 200.
// A 4xx status, and 503 with Retry-After, say that the request was not run.
func statusError(op string, got answer) error {
	if got.status == http.StatusOK {
		return nil
	}
	failure := &Error{
		Kind: KindUnknown, Op: op, Status: got.status,
		RetryAfter: parseRetryAfter(got.header.Get("Retry-After")),
		Detail:     string(got.body[:min(len(got.body), maxRefusalBytes)]),
	}
	switch {
	case isRefusal(got):
		failure.Kind = KindRefused
	case got.status < http.StatusInternalServerError:
		failure.Kind = KindGarbage
	}
	return failure
}

func isRefusal(got answer) bool {
	if got.status == http.StatusServiceUnavailable {
		return got.header.Get("Retry-After") != ""
	}
	return got.status >= http.StatusBadRequest && got.status < http.StatusInternalServerError
}

// parseRetryAfter returns the wait that a Retry-After header in seconds asks for.
// Dates are ignored: clocks differ.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter is the longest wait that is believed.
const maxRetryAfter = 24 * time.Hour
