package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Headers has the names of the header fields that a deployment uses, in canonical form.
type Headers struct {
	// RequestID identifies a caller's request; backend servers repeat it in their responses.
	RequestID string
	// Deadline is the time left for the request, in milliseconds.
	Deadline string
	// Customer identifies the customer to backend servers. A value sent by a caller is removed.
	Customer string
	// Credential is the caller's credential. It is never passed on.
	Credential string
	// BackendID identifies the backend server that the request is for. Any other backend server rejects the request.
	BackendID string
	// Signature marks the response of a backend server. A success without it is not accepted.
	Signature string
	// NotExecuted is set by a backend server that did not run the request.
	NotExecuted string
	// Priority is the priority of a request. It is removed from callers' requests: the entry uses the priority in the
	// configuration.
	Priority string
	// LastEventID is the ID of the last event of a stream that the receiver has.
	LastEventID string
	// FaultyBackend identifies the failed backend server because of which a group cannot run the request.
	FaultyBackend string
	// PromptTokens returns the size of a request's prompt in tokens; 0 if the header does not state it.
	PromptTokens func(header http.Header) int
	// Statement returns what a response says about its server. An error means that a field cannot be read.
	Statement func(header http.Header) (membership.Statement, error)
	// Rest returns the time for which the server of a response wants no requests, or 0. An error means that the field cannot
	// be read.
	Rest func(status int, header http.Header) (time.Duration, error)
	// PromptParts returns the parts of a request's prompt in their order; the last one belongs to the request itself. An
	// error names entries that cannot be read; the others are returned.
	PromptParts func(header http.Header) ([]ident.PromptPart, error)
}

// hopByHopFields apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of the header with only the fields that are forwarded.
func endToEndHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		forwarded.Del(name)
	}
	return forwarded
}

// headerBytes returns the least size in bytes that a request's head can have had. A caller need not write a space after the colon of a field.
func headerBytes(r *http.Request) int {
	const lineSeparators, fieldSeparators = len("  \r\n"), len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineSeparators + len("Host") + len(r.Host) + fieldSeparators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldSeparators
		}
	}
	return size
}

// computeDeadline returns the earlier of the route's timeout and the caller's deadline.
func (c *call) computeDeadline() time.Time {
	end := c.arrived.Add(c.route.Timeout)
	if remaining, err := strconv.ParseInt(c.r.Header.Get(c.gateway.headers.Deadline), 10, 64); err == nil && remaining >= 0 {
		if deadline := c.arrived.Add(time.Duration(remaining) * time.Millisecond); deadline.Before(end) {
			end = deadline
		}
	}
	return end
}
