package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// maxRemembered bounds the answers that are kept to be sent again.
const maxRemembered = 2 << 20

// capture is a whole answer.
type capture struct {
	status int
	header http.Header
	body   []byte
}

// write sends the answer with the length of its body.
func (c capture) write(w http.ResponseWriter) {
	c.writeHeader(w, len(c.body))
	w.Write(c.body)
}

// writeHeader sends the status and the header with the given length; none if negative.
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

// events returns the events of a stream with their ends.
func (c capture) events() []string {
	parts := strings.SplitAfter(string(c.body), "\n\n")
	return parts[:len(parts)-1]
}

// captureWriter keeps an answer in memory.
type captureWriter struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (w *captureWriter) Header() http.Header { return w.header }

// WriteHeader keeps the status.
func (w *captureWriter) WriteHeader(status int) { w.status = status }

// Write keeps a part of the body.
func (w *captureWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// captureAnswer handles the request and returns the answer.
func captureAnswer(handler http.Handler, r *http.Request) capture {
	w := &captureWriter{status: http.StatusOK, header: make(http.Header)}
	handler.ServeHTTP(w, r)
	return capture{status: w.status, header: w.header, body: w.body.Bytes()}
}

// teeWriter passes an answer on and keeps a copy.
type teeWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader passes the status on.
func (w *teeWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write passes a part of the body on.
func (w *teeWriter) Write(p []byte) (int, error) {
	if w.body.Len()+len(p) <= maxRemembered {
		w.body.Write(p)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer below for http.ResponseController.
func (w *teeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *teeWriter) capture() capture {
	status := w.status
	if status == 0 {
		status = http.StatusOK
	}
	return capture{status: status, header: w.Header().Clone(), body: w.body.Bytes()}
}

// bufferedRequest is a request whose body can be read several times.
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

// fresh returns the request with an unread body. It lives on after the client has left.
func (b bufferedRequest) fresh() *http.Request {
	request := b.original.Clone(context.WithoutCancel(b.original.Context()))
	request.Body = io.NopCloser(bytes.NewReader(b.body))
	return request
}
