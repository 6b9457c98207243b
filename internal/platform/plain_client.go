package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/dghubble/sling"
)

// PlainClient implements PlainService over HTTP.
type PlainClient struct {
	*client
}

// NewPlainClient returns a client for the plain service at the base URL.
func NewPlainClient(options Options) *PlainClient {
	c := newClient(options)
	c.sendGETOnce = true
	return &PlainClient{c}
}

var _ PlainService = (*PlainClient)(nil)

// Call sends the request once and returns the whole response.
func (c *PlainClient) Call(ctx context.Context, request PlainRequest) (PlainAnswer, error) {
	const op = "plain.call"
	if err := checkPlainRequest(request); err != nil {
		return PlainAnswer{}, &Error{Kind: KindNotStarted, Op: op, Err: err}
	}
	got, err := c.do(ctx, op, c.plainRequest(request), request.ReadBody)
	if err != nil {
		return PlainAnswer{}, err
	}
	if err := plainStatusError(op, got); err != nil {
		return PlainAnswer{}, err
	}
	return PlainAnswer{Status: got.status, Header: got.header, Body: got.body}, nil
}

// checkPlainRequest rejects unsupported methods, and paths that would send the request to
// another host than that of BaseURL.
func checkPlainRequest(request PlainRequest) error {
	switch request.Method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return fmt.Errorf("method %q is not supported", request.Method)
	}
	target, err := url.Parse(request.Path)
	if err != nil {
		return err
	}
	if target.IsAbs() || target.Host != "" || !strings.HasPrefix(target.Path, "/") {
		return fmt.Errorf("path %q is not an absolute path on the same host", request.Path)
	}
	return nil
}

func (c *PlainClient) plainRequest(request PlainRequest) *sling.Sling {
	s := withMethod(c.base.New(), request.Method, request.Path)
	addForwardedHeaders(s, request.Header)
	if request.ID != "" {
		s.Set(HeaderRequestID, string(request.ID))
	}
	if request.Key != "" {
		s.Set(HeaderIdempotencyKey, request.Key)
	}
	if len(request.Body) > 0 {
		s.Body(bytes.NewReader(request.Body))
	}
	return s
}

// addForwardedHeaders adds the header fields that are forwarded to the service. Fields in
// unforwardedHeaders are left out.
func addForwardedHeaders(s *sling.Sling, header http.Header) {
	for name, values := range header {
		if unforwardedHeaders[http.CanonicalHeaderKey(name)] {
			continue
		}
		for _, value := range values {
			s.Add(name, value)
		}
	}
}

// unforwardedHeaders lists the fields, in canonical form, that are not forwarded: the caller's
// credentials, the hop-by-hop fields, and Host, Content-Length and Expect, which apply only to
// the request that the caller sent.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func withMethod(s *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodGet:
		return s.Get(path)
	case http.MethodPut:
		return s.Put(path)
	case http.MethodPatch:
		return s.Patch(path)
	case http.MethodDelete:
		return s.Delete(path)
	}
	return s.Post(path)
}

// plainStatusError returns the error for a plain service's status, or nil for statuses that
// are passed on to the caller.
func plainStatusError(op string, got bufferedResponse) error {
	if got.status < http.StatusInternalServerError && got.status != http.StatusTooManyRequests {
		return nil
	}
	return statusError(op, got)
}
