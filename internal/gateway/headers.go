package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers are the names of the header fields that a deployment uses, in canonical form.
type Headers struct {
	// RequestID identifies one request of a caller; backend servers repeat it in their answers.
	RequestID string
	// Deadline is how many milliseconds the caller waits, or what is left of them.
	Deadline string
	// Customer names the customer to backend servers.
	Customer string
	// Credential is the caller's credential; it is never passed on.
	Credential string
	// BackendID makes any other backend server refuse the request.
	BackendID string
	// Signature marks a backend server's answer.
	Signature string
	// NotExecuted is a backend server's word that it did not run the request.
	NotExecuted string
	// Priority orders requests at a backend server; 0 is the most urgent.
	Priority string
	// LastEventID is the last event of a stream that the receiver has.
	LastEventID string
	// FaultyBackend names the backend server whose loss broke its group.
	FaultyBackend string
	// PromptTokens reads the size of a request's prompt; 0 if the header has none.
	PromptTokens func(header http.Header) int
}

// connectionFields concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the fields of a header that are passed on.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionFields {
		passed.Del(name)
	}
	return passed
}

// headerBytes returns the size of a request's head as callers commonly write it, in bytes.
func headerBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
