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

// maxBodyBytes bounds the bodies that stand-ins read.
const maxBodyBytes = 16 << 20

// headerReadTimeout bounds the wait for a request's header.
const headerReadTimeout = 10 * time.Second

// Server serves a stand-in on a loopback port.
type Server struct {
	// URL is the base URL for clients.
	URL    string
	server *http.Server
	done   chan struct{}
}

// Serve starts serving the handler on a free port of the loopback address.
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

// Close ends the server and all its connections.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// problem is the JSON body of a refusal.
type problem struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("invariant: stand-in answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	writeWhole(w, status, data)
}

// writeWhole sends a body with its length and digest.
func writeWhole(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set(platform.HeaderDigest, strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func refuse(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, problem{Error: detail})
}

func refuseFor(w http.ResponseWriter, status int, wait time.Duration, detail string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	refuse(w, status, detail)
}

// abort breaks the connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

// credentialOf returns the bearer token of a request.
func credentialOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// allowed reports whether a back end with the accepted credentials takes the request.
// Without credentials it checks nobody.
func allowed(credentials []string, r *http.Request) bool {
	return len(credentials) == 0 || slices.Contains(credentials, credentialOf(r))
}
