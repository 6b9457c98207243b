package callerconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	"golang.org/x/sys/unix"
)

// Refusal returns a response with status 503 that closes its connection, for Config.
func Refusal(header http.Header, body string) []byte {
	var text bytes.Buffer
	response := http.Response{
		StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	// A buffer does not fail.
	_ = response.Write(&text)
	return text.Bytes()
}

// refuse sends the refusal on a connection from which no request will be read, without waiting: the kernel has room for it unless the caller
// has left earlier responses unread.
func (t *Table) refuse(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil || len(t.config.Refusal) == 0 {
		return
	}
	// Errors are ignored: the caller has left.
	_ = raw.Control(func(fd uintptr) { _, _ = unix.Write(int(fd), t.config.Refusal) })
}
