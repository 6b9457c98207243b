package network

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a connection is open and no bytes have arrived that are not yet read.
func IsQuiet(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
