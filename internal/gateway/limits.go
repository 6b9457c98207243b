package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
)

const (
	// maxHeadBytes bounds the head of a backend server's response.
	maxHeadBytes = 64 << 10
	// maxBufferedBody bounds the body of a response that is buffered before it is passed on, or discarded, in bytes.
	maxBufferedBody = 16 << 20
)

// Errors of responses that exceed a limit.
var (
	errHeadTooLarge = errors.New("response head exceeds the size limit")
	errBodyTooLarge = errors.New("response body exceeds the limit for buffering")
)

// headLimiter reads from a connection, and fails if a response head exceeds maxHeadBytes. Bodies have limits of their own.
type headLimiter struct {
	reader io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// beginHead and endHead enclose the reading of a head.
func (l *headLimiter) beginHead() { l.left = maxHeadBytes }

func (l *headLimiter) endHead() { l.left = math.MaxInt64 }

// bodyLimiter reads a body, and fails if it is longer than the limit.
type bodyLimiter struct {
	reader io.Reader
	left   int64
}

func (l *bodyLimiter) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if l.left -= int64(n); l.left < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}

// bufferResponse reads a response completely. A response without a length that ends with its connection is complete
// unless the connection was reset. ServeHTTP releases the bytes at the end of the call. The error is callermem.ErrFull if
// other responses leave no memory, and errBodyTooLarge if the response itself has filled it.
func (c *call) bufferResponse(conn *backendConn, response *http.Response) (*bufferedResponse, error) {
	length, taken := min(response.ContentLength, maxTrustedLength), int64(0)
	take := func(bytes int64) bool {
		if !c.takeResponseMemory(bytes) {
			return false
		}
		taken += bytes
		return true
	}
	body, err := callermem.ReadAll(&bodyLimiter{reader: response.Body, left: maxBufferedBody}, length, maxBufferedBody, take)
	if err != nil {
		if errors.Is(err, callermem.ErrFull) && c.memory.HoldsMost() {
			err = errBodyTooLarge
		}
		c.memory.ReturnResponse(taken)
		if errors.Is(err, errBodyTooLarge) || errors.Is(err, callermem.ErrFull) {
			c.gateway.log.WithError(err).WithField("request", c.id).WithField("address", conn.address).Warn("response-cut-off")
		}
		conn.reset()
		return nil, err
	}
	c.gateway.pool.put(conn, response)
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}
