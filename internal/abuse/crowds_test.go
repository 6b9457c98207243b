package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyspool/bramleyspool/platform"
)

// behavior uses a connection until the entry closes it or the crowd ends, which closes it too.
type behavior func(caller *caller)

// caller is one caller of a crowd with its open connection.
type caller struct {
	net.Conn
	target *target
	number int
}

// write writes text and returns false if the connection has ended.
func (c *caller) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// stay reads until the connection ends.
func (c *caller) stay() { _, _ = io.Copy(io.Discard, c) }

// post writes the head of a request with a body and additional lines.
func (c *caller) post(lines ...string) bool {
	return c.write(headText(c.target.post(newID()), lines...) + "\r\n")
}

const chunked = "Transfer-Encoding: chunked"

func chunk(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }

// wholeBodies sends one legal body after another.
func wholeBodies(c *caller) {
	go c.stay()
	for c.post(fmt.Sprintf("Content-Length: %d", bodyLimit)) {
		if !c.write(legalBody(bodyLimit)) {
			return
		}
	}
}

// legalBody returns a JSON document, as the brief's entry expects it.
func legalBody(bytes int) string {
	head, tail := `{"voucher":"V1","session":"`+newID()+`","text":"`, `"}`
	return head + strings.Repeat("x", bytes-len(head)-len(tail)) + tail
}

// piecedBody sends a body piece by piece, but not its last byte.
func piecedBody(c *caller) {
	const piece = 16 << 10
	if !c.post(fmt.Sprintf("Content-Length: %d", bodyLimit)) {
		return
	}
	for left := bodyLimit - 1; left > 0; left -= piece {
		if !c.write(strings.Repeat("x", min(left, piece))) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.stay()
}

// chunkedBody returns a behavior that sends a legal body in chunks, but not its end.
func chunkedBody(bytes int) behavior {
	return func(c *caller) {
		if !c.post(chunked) {
			return
		}
		batch := max(1, 16<<10/bytes)
		text := strings.Repeat(chunk(bytes), batch)
		for sent := batch * bytes; sent < bodyLimit; sent += batch * bytes {
			if !c.write(text) {
				return
			}
		}
		c.stay()
	}
}

// endless sends a piece until the connection ends.
func (c *caller) endless(piece string) {
	go c.stay()
	for c.write(piece) {
	}
}

// announcedOverLimit sends a body far over the limit, with its length.
func announcedOverLimit(c *caller) {
	if c.post("Content-Length: 1000000000") {
		c.endless(strings.Repeat("x", 64<<10))
	}
}

// chunksOverLimit sends chunks without end.
func chunksOverLimit(c *caller) {
	if c.post(chunked) {
		c.endless(chunk(64 << 10))
	}
}

// unknownCredential sends a legal body with a credential that is in no configuration.
func unknownCredential(c *caller) {
	request := c.target.post(newID())
	for _, name := range []string{"Authorization", platform.Headers.Credential} {
		if request.Header.Get(name) != "" {
			request.Header.Set(name, "Bearer unknown")
		}
	}
	if c.write(headText(request, fmt.Sprintf("Content-Length: %d", bodyLimit))+"\r\n") && c.write(legalBody(bodyLimit)[1:]) {
		c.stay()
	}
}

// endlessHead returns a behavior that begins a head of lines with values of a length, and does not end it.
func endlessHead(valueBytes int) behavior {
	return func(c *caller) {
		if !c.write(headText(c.target.get(newID()))) {
			return
		}
		for bytes, line := 0, 0; bytes < 8*headLimit; line++ {
			var text strings.Builder
			for text.Len() < 4<<10 {
				fmt.Fprintf(&text, "f%d:%s\r\n", line, strings.Repeat("x", valueBytes))
				line++
			}
			if !c.write(text.String()) {
				return
			}
			bytes += text.Len()
		}
		c.stay()
	}
}

// manyFields sends a legal head of many short fields, and not its body.
func manyFields(c *caller) {
	head := headText(c.target.post(newID()), "Content-Length: 10")
	var fields strings.Builder
	for i := 0; len(head)+fields.Len() < headLimit-100; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	if c.write(head + fields.String() + "\r\n") {
		c.stay()
	}
}

// idle sends nothing.
func idle(c *caller) { c.stay() }

// unreadResponses sends requests without end and reads no response.
func unreadResponses(c *caller) {
	for c.write(headText(c.target.get(newID())) + "\r\n") {
	}
}

// unreadRefusals sends requests without a known path and reads no response.
func unreadRefusals(c *caller) {
	for c.write("GET /unknown HTTP/1.1\r\nHost: unknown.example\r\n\r\n") {
	}
}

// requestStream requests a stream with large events.
func (c *caller) requestStream() bool {
	request := c.target.stream(newID())
	body := ""
	if request.Body != nil {
		text, err := io.ReadAll(request.Body)
		if err != nil {
			return false
		}
		body = string(text)
	}
	return c.write(headText(request, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
}

// unreadStream requests a stream, as long as the entry serves it, and reads none of it.
func unreadStream(c *caller) {
	if c.requestStream() {
		c.awaitEnd()
	}
}

// unreadLargeResponse requests a large response, and reads none of it.
func unreadLargeResponse(c *caller) {
	if c.write(headText(c.target.getLarge(newID())) + "\r\n") {
		c.awaitEnd()
	}
}

// slowStream requests a stream and reads it slowly.
func slowStream(c *caller) {
	if !c.requestStream() {
		return
	}
	for buffer := make([]byte, 4<<10); ; time.Sleep(100 * time.Millisecond) {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// awaitEnd waits until the connection ends, without reading.
func (c *caller) awaitEnd() {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for ended := false; !ended; time.Sleep(sampleInterval) {
		err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			ended = err != nil || info.State != tcpEstablished
		})
		ended = ended || err != nil
	}
}

// crowds has the crowds by name.
var crowds = []struct {
	name string
	use  behavior
}{
	{"whole bodies", wholeBodies},
	{"bodies that stop short", piecedBody},
	{"large chunks that stop short", chunkedBody(64 << 10)},
	{"small chunks that stop short", chunkedBody(16)},
	{"announced over the limit", announcedOverLimit},
	{"chunks over the limit", chunksOverLimit},
	{"unknown credential", unknownCredential},
	{"heads of long lines", endlessHead(1000)},
	{"heads of short lines", endlessHead(0)},
	{"many fields", manyFields},
	{"idle", idle},
	{"unread responses", unreadResponses},
	{"unread refusals", unreadRefusals},
}

// mixed lets each caller of a crowd behave in one of the ways in crowds.
func mixed(c *caller) { crowds[c.number%len(crowds)].use(c) }
