package callerconn

import (
	"io"
	"net/http"
	"time"
)

// RespondBeforeBody prepares a response that is written before the request's body has been read, of which DiscardBody will read up to
// limit bytes. The response announces the end of a connection whose body may be longer or has an invalid form, since the next request
// could not be told from the rest of the body.
func RespondBeforeBody(w http.ResponseWriter, r *http.Request, limit int64, invalid bool) {
	if length := r.ContentLength; invalid || length < 0 || length > limit {
		w.Header().Set("Connection", "close")
	}
	// Otherwise net/http reads a part of the body before it writes the response. An error means that it writes later.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// DiscardBody writes the response, and reads up to limit bytes of the request's body until the deadline. A connection that is closed with
// unread bytes is reset, so that its caller might not see the response. A caller that waits for a 100 has seen the response and sends no
// body; net/http closes its connection. DiscardBody returns false if the end of the body was not found.
func DiscardBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) bool {
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return true
	}
	controller := http.NewResponseController(w)
	// On an error the caller has left, or its body is too slow.
	if controller.Flush() != nil || controller.SetReadDeadline(deadline) != nil {
		return false
	}
	// net/http must see the end of the body before the handler returns: if it finds it later, it reads the connection twice at once.
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1)); err != nil {
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	return true
}
