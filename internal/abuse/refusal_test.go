package abuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers that were late with their request lost their connection without a response when an entry had no room.
func TestEntriesRefuseCallersThatFindNoRoom(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, descriptors int) *target{"platform entry": startPlatformEntry, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			target := start(t, fewDescriptors)
			var late []net.Conn
			for range fewDescriptors {
				conn, err := net.Dial("tcp", target.callers)
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				late = append(late, conn)
			}
			// The entry has closed the first connection by then, and some are still open.
			time.Sleep(crowdTime)
			refused := 0
			for _, conn := range late {
				_ = conn.SetDeadline(time.Now().Add(crowdTime))
				_, _ = io.WriteString(conn, headText(target.get(newID()))+"Connection: close\r\n\r\n")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusTooManyRequests {
					continue
				}
				refused++
				c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				c.Assert(response.Close, qt.IsTrue)
				c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				c.Assert(strings.Contains(string(body), "connections-full"), qt.IsTrue, qt.Commentf("body: %s", body))
			}
			t.Logf("%d of %d callers refused", refused, len(late))
			c.Assert(refused > 0, qt.IsTrue)
		})
	}
}
