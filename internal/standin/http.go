package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// maxBodyBytes bounds the request bodies that stand-ins read.
const maxBodyBytes = 16 << 20

// headerReadTimeout bounds the time to read a request's header.
const headerReadTimeout = 10 * time.Second

// Server serves a stand-in on a loopback port.
type Server struct {
	// URL is the base URL for clients.
	URL    string
	server *http.Server
	done   chan struct{}
}

// Serve starts serving the handler on a free port of 127.0.0.1.
func Serve(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		URL:    "http://" + listener.Addr().String(),
		server: &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic("invariant: stand-in server failed: " + err.Error())
		}
	}()
	return s, nil
}

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("invariant: response of a stand-in can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, data)
}

// writeBody sends a body with its length and digest.
func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set(platform.HeaderDigest, strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, errorBody{Error: detail})
}

func writeRetryLater(w http.ResponseWriter, status int, wait time.Duration, detail string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	writeError(w, status, detail)
}

// abort panics and does not return, so that net/http closes the connection without sending the
// response, or the rest of one that was started.
func abort() {
	panic(http.ErrAbortHandler)
}

// credentialOf returns the bearer token of a request.
func credentialOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// authorized reports whether the request's bearer token is one of the credentials. With no
// credentials every request is authorized.
func authorized(credentials []string, r *http.Request) bool {
	return len(credentials) == 0 || slices.Contains(credentials, credentialOf(r))
}
