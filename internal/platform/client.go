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

// Defaults of the limits in Options.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxAnswerBytes = 16 << 20
)

// maxErrorDetailBytes bounds how much of an error response's body is kept in Error.Detail.
const maxErrorDetailBytes = 256

// Names of request and response headers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Request-Priority"
	HeaderRank           = "X-Data-Parallel-Rank"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRevision       = "Config-Revision"
	// HeaderDigest is the xxhash64 of the body in hexadecimal. Clients verify it if a response
	// carries it.
	HeaderDigest = "X-Content-Xxhash"
)

// Options configures one client.
type Options struct {
	// BaseURL is the scheme, IP address and port of the server.
	BaseURL string
	// Credential is sent as the bearer token; "" sends none. Backend servers that
	// authenticate their clients check it.
	Credential string
	// Timeout bounds a whole call, or the time until a stream starts; 0 means
	// DefaultTimeout. A call's context can shorten it but not extend it. ConfigClient.Watch
	// ignores it; see NewConfigClient.
	Timeout time.Duration
	// ConnectTimeout bounds the opening of a TCP connection; 0 means DefaultConnectTimeout.
	// It has no effect if Dial is set.
	ConnectTimeout time.Duration
	// IdleTimeout bounds the wait for the next event of a stream; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxAnswerBytes bounds the body of a response; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Dial opens connections; nil means TCP.
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

// client is the HTTP client that all clients of this package embed.
type client struct {
	options Options
	base    *sling.Sling
	http    *http.Client
	// sendGETOnce also forbids net/http to send GET requests again after a connection error.
	sendGETOnce bool
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

// CloseIdle closes the idle connections.
func (c *client) CloseIdle() { c.http.CloseIdleConnections() }

// bufferedResponse is a response whose body has been read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request as send does and reads the whole response.
func (c *client) do(ctx context.Context, op string, request *sling.Sling, read BodyReader) (bufferedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.send(ctx, op, request)
	if err != nil {
		return bufferedResponse{}, err
	}
	defer response.Body.Close()
	body, err := c.readBody(op, response, read)
	if err != nil {
		return bufferedResponse{}, err
	}
	return bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// send sends the request and returns the response with its body unread. If sendGETOnce is
// false, net/http may send a GET again after a reused connection broke before the response;
// every other request is sent at most once. The error has KindNotStarted if no byte of the
// request was written to a connection.
func (c *client) send(ctx context.Context, op string, request *sling.Sling) (*http.Response, error) {
	httpRequest, err := request.Request()
	if err != nil {
		return nil, &Error{Kind: KindNotStarted, Op: op, Err: err}
	}
	if c.sendGETOnce || httpRequest.Method != http.MethodGet {
		preventResend(httpRequest)
	}
	var sent sendTrace
	ctx = httptrace.WithClientTrace(ctx, sent.hooks())
	response, err := c.http.Do(httpRequest.WithContext(ctx))
	if err != nil {
		kind := KindUnknown
		if sent.sealIfUnsent() {
			kind = KindNotStarted
		}
		return nil, &Error{Kind: kind, Op: op, Err: err}
	}
	return response, nil
}

// BodyReader reads a body of up to limit bytes completely. length is its announced length, -1 if there is none.
type BodyReader func(body io.Reader, length, limit int64) ([]byte, error)

// readWhole is the BodyReader of requests that have none.
func readWhole(body io.Reader, length, _ int64) ([]byte, error) {
	var data bytes.Buffer
	if length > 0 {
		data.Grow(int(length) + bytes.MinRead)
	}
	_, err := data.ReadFrom(body)
	return data.Bytes(), err
}

// readBody reads the whole body with read, or with readWhole if it is nil. It rejects responses without Content-Length or chunked
// encoding, because a truncated body could not be detected.
func (c *client) readBody(op string, response *http.Response, read BodyReader) ([]byte, error) {
	if !hasDelimitedBody(response) {
		return nil, &Error{Kind: KindGarbage, Op: op, Status: response.StatusCode, Detail: "response without length or chunked encoding"}
	}
	if response.ContentLength > c.options.MaxAnswerBytes {
		return nil, c.tooLarge(op, response)
	}
	if read == nil {
		read = readWhole
	}
	limit := c.options.MaxAnswerBytes + 1
	body, err := read(io.LimitReader(response.Body, limit), response.ContentLength, limit)
	if err != nil {
		return nil, &Error{Kind: KindUnknown, Op: op, Status: response.StatusCode, Detail: "the response could not be read", Err: err}
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, c.tooLarge(op, response)
	}
	if err := checkDigest(response.Header, body); err != nil {
		return nil, &Error{Kind: KindGarbage, Op: op, Status: response.StatusCode, Err: err}
	}
	return body, nil
}

// errDigestMismatch means that the body was changed or truncated in transit.
var errDigestMismatch = errors.New("response body does not match its digest header")

// checkDigest compares a body with HeaderDigest, if the response carries it.
func checkDigest(header http.Header, body []byte) error {
	text := header.Get(HeaderDigest)
	if text == "" {
		return nil
	}
	want, err := strconv.ParseUint(text, 16, 64)
	if err != nil || want != xxhash.Sum64(body) {
		return errDigestMismatch
	}
	return nil
}

func (c *client) tooLarge(op string, response *http.Response) error {
	return &Error{
		Kind: KindTooLarge, Op: op, Status: response.StatusCode,
		Detail: fmt.Sprintf("response exceeds %d bytes", c.options.MaxAnswerBytes),
	}
}

// hasDelimitedBody reports whether the response has a Content-Length or chunked encoding, so
// that a truncated body can be detected.
func hasDelimitedBody(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// doJSON sends the request as send does and decodes the JSON body of a 200 response into out.
func (c *client) doJSON(ctx context.Context, op string, request *sling.Sling, out any) error {
	got, err := c.do(ctx, op, request, nil)
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
		return &Error{Kind: KindGarbage, Op: op, Detail: "response is not the expected JSON", Err: err}
	}
	return nil
}

// statusError returns the error for a response's status, or nil for 200. A 4xx status, and
// 503 with Retry-After, mean that the request was not run.
func statusError(op string, got bufferedResponse) error {
	if got.status == http.StatusOK {
		return nil
	}
	failure := &Error{
		Kind: KindUnknown, Op: op, Status: got.status,
		RetryAfter: parseRetryAfter(got.header.Get("Retry-After")),
		Detail:     string(got.body[:min(len(got.body), maxErrorDetailBytes)]),
	}
	switch {
	case isRefusal(got):
		failure.Kind = KindRefused
	case got.status < http.StatusInternalServerError:
		failure.Kind = KindGarbage
	}
	return failure
}

func isRefusal(got bufferedResponse) bool {
	if got.status == http.StatusServiceUnavailable {
		return got.header.Get("Retry-After") != ""
	}
	return got.status >= http.StatusBadRequest && got.status < http.StatusInternalServerError
}

// parseRetryAfter parses a Retry-After header given in seconds, and returns 0 for an invalid
// value. HTTP dates are ignored because the clocks of client and server may differ.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter is the longest Retry-After that is accepted; longer values are ignored.
const maxRetryAfter = 24 * time.Hour
