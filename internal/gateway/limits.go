package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of a backend server's response.
	maxHeadBytes = 64 << 10
	// maxBufferedBody bounds the body of a response that is buffered before it is passed on, or discarded, in bytes.
	maxBufferedBody = 16 << 20
	// bufferedShare is the share of the memory limit that the buffered bodies of all calls may use.
	bufferedShare = 0.25
	// defaultBufferedBytes is the limit on all buffered bodies if the memory limit is unknown.
	defaultBufferedBytes = 64 << 20
	// bodyReadBytes is the size of the parts in which a body is buffered.
	bodyReadBytes = 32 << 10
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

// bufferLimit returns the number of bytes that the buffered bodies of all calls may use.
func bufferLimit(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultBufferedBytes
	}
	return int64(bufferedShare * float64(memoryLimit))
}

// readBody reads a body completely. The bytes count towards the limit on all buffered bodies until they are subtracted
// from used. It fails if a limit is reached.
func readBody(body io.Reader, used *atomic.Int64, limit int64) ([]byte, error) {
	var data []byte
	for {
		if cap(data)-len(data) < bodyReadBytes/2 {
			grown := make([]byte, len(data), max(2*cap(data), bodyReadBytes))
			copy(grown, data)
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		total := used.Add(int64(n))
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		case len(data) > maxBufferedBody, total > limit:
			return data, errBodyTooLarge
		}
	}
}

// bufferResponse reads a response completely. A response without a length that ends with its connection is complete
// unless the connection was reset. ServeHTTP releases the bytes at the end of the call.
func (c *call) bufferResponse(conn *backendConn, response *http.Response) (*bufferedResponse, error) {
	body, err := readBody(response.Body, &c.gateway.bufferedBytes, bufferLimit(c.gateway.config.Settings.MemoryLimit))
	c.bufferedBytes += int64(len(body))
	if err != nil {
		if errors.Is(err, errBodyTooLarge) {
			c.gateway.log.WithError(err).WithField("request", c.id).WithField("address", conn.address).Warn("response-cut-off")
		}
		conn.reset()
		return nil, err
	}
	c.gateway.pool.put(conn, response)
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}
