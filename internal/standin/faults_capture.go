package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// maxRecordedBytes bounds the body size of a recorded response. A write that would exceed it is
// not recorded.
const maxRecordedBytes = 2 << 20

// capture is a recorded response.
type capture struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response with the length of its body.
func (c capture) write(w http.ResponseWriter) {
	c.writeHeader(w, len(c.body))
	w.Write(c.body)
}

// writeHeader sends the status and the header with the given Content-Length, or without one if
// length is negative.
func (c capture) writeHeader(w http.ResponseWriter, length int) {
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(c.status)
}

func (c capture) isStream() bool {
	return strings.HasPrefix(c.header.Get("Content-Type"), "text/event-stream")
}

// events returns the events of a stream, each with its terminating blank line.
func (c capture) events() []string {
	parts := strings.SplitAfter(string(c.body), "\n\n")
	return parts[:len(parts)-1]
}

// captureWriter is an http.ResponseWriter that keeps the response in memory.
type captureWriter struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the header of the response.
func (w *captureWriter) Header() http.Header { return w.header }

// WriteHeader records the status.
func (w *captureWriter) WriteHeader(status int) { w.status = status }

// Write appends to the body.
func (w *captureWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// captureResponse handles the request and returns the response.
func captureResponse(handler http.Handler, r *http.Request) capture {
	w := &captureWriter{status: http.StatusOK, header: make(http.Header)}
	handler.ServeHTTP(w, r)
	return capture{status: w.status, header: w.header, body: w.body.Bytes()}
}

// teeWriter forwards a response and records a copy.
type teeWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader forwards and records the status.
func (w *teeWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write forwards a part of the body and records it up to maxRecordedBytes.
func (w *teeWriter) Write(p []byte) (int, error) {
	if w.body.Len()+len(p) <= maxRecordedBytes {
		w.body.Write(p)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *teeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *teeWriter) capture() capture {
	status := w.status
	if status == 0 {
		status = http.StatusOK
	}
	return capture{status: status, header: w.Header().Clone(), body: w.body.Bytes()}
}

// bufferedRequest is a request whose body can be read more than once.
type bufferedRequest struct {
	original *http.Request
	body     []byte
}

func bufferRequest(r *http.Request) bufferedRequest {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	return bufferedRequest{original: r, body: body}
}

// clone returns the request with an unread body. Its context is not cancelled when the client
// disconnects.
func (b bufferedRequest) clone() *http.Request {
	request := b.original.Clone(context.WithoutCancel(b.original.Context()))
	request.Body = io.NopCloser(bytes.NewReader(b.body))
	return request
}
