package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowdSize is the number of callers of a crowd, and crowdTime how long it stays.
	crowdSize = 400
	crowdTime = 5 * time.Second
	// manyDescriptors and fewDescriptors are limits of open descriptors. Of both, reservedDescriptors are for other uses than sockets.
	manyDescriptors     = 2940
	fewDescriptors      = 350
	reservedDescriptors = 200
	// tcpEstablished is the state of an open connection in the kernel's information on it.
	tcpEstablished = 1
	sampleInterval = 20 * time.Millisecond
	reopenPause    = 20 * time.Millisecond
	// leftOpen is how many descriptors more than before the crowd may stay open, such as connections to servers.
	leftOpen = 50
)

// runCrowd runs a crowd until the context ends. A caller whose connection the entry closes opens another one.
func runCrowd(ctx context.Context, target *target, use behavior) {
	var callers sync.WaitGroup
	for i := range crowdSize {
		callers.Go(func() {
			for ctx.Err() == nil {
				var dialer net.Dialer
				if conn, err := dialer.DialContext(ctx, "tcp", target.callers); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					use(&caller{Conn: conn, target: target, number: i})
					stop()
					_ = conn.Close()
				}
				select {
				case <-time.After(reopenPause):
				case <-ctx.Done():
				}
			}
		})
	}
	callers.Wait()
}

// peaks are the greatest values that a watch has seen.
type peaks struct {
	// memory is resident memory with what the kernel holds unread for the entry, in bytes, and unread the latter alone; others is the
	// resident memory of the greatest other process.
	memory, unread, others int64
	descriptors            int
}

// watch samples the processes until the context ends.
func watch(ctx context.Context, c *qt.C, target *target) peaks {
	var peak peaks
	for ctx.Err() == nil && target.entry.lives() {
		resident, err := target.entry.residentMemory()
		c.Check(err, qt.IsNil)
		unread, err := target.entry.unreadBytes(target.callers)
		c.Check(err, qt.IsNil)
		descriptors, err := target.entry.descriptors()
		c.Check(err, qt.IsNil)
		peak.memory, peak.unread, peak.descriptors = max(peak.memory, resident+unread), max(peak.unread, unread), max(peak.descriptors, descriptors)
		for _, other := range target.others {
			resident, err := other.residentMemory()
			c.Check(err, qt.IsNil)
			peak.others = max(peak.others, resident)
		}
		time.Sleep(sampleInterval)
	}
	return peak
}

// play runs a crowd against an entry. All processes must live and stay within their memory and descriptors, and an ordinary request must
// be answered while the crowd is there, and served afterwards.
func play(t *testing.T, target *target, use behavior, descriptorBound int) {
	c := qt.New(t)
	before, err := target.entry.descriptors()
	c.Assert(err, qt.IsNil)
	watchContext, endWatch := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	var peak peaks
	workers.Go(func() { peak = watch(watchContext, c, target) })
	crowdContext, endCrowd := context.WithCancel(context.Background())
	var gone atomic.Bool
	workers.Go(func() { runCrowd(crowdContext, target, use); gone.Store(true) })
	time.Sleep(crowdTime)
	status, err := send(target.get(newID()))
	c.Check(err, qt.IsNil, qt.Commentf("an ordinary request beside the crowd got no response"))
	t.Logf("an ordinary request beside the crowd got status %d", status)
	endCrowd()
	awaitStatus(t, target.entry, "", func() *http.Request { return target.get(newID()) })
	open := 0
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(sampleInterval) {
		if open, err = target.entry.descriptors(); err != nil || gone.Load() && open <= before+leftOpen {
			break
		}
	}
	endWatch()
	workers.Wait()
	t.Logf("memory %d MB, unread %d MB, of others %d MB, descriptors %d at most, %d before and %d after the crowd",
		peak.memory/1e6, peak.unread/1e6, peak.others/1e6, peak.descriptors, before, open)
	for _, p := range append(target.others, target.entry) {
		c.Check(p.lives(), qt.IsTrue, qt.Commentf("%s has ended", p.name))
	}
	c.Check(peak.memory <= memoryMB*1e6, qt.IsTrue, qt.Commentf("memory of the entry with unread bytes: %d MB", peak.memory/1e6))
	c.Check(peak.others <= memoryMB*1e6, qt.IsTrue, qt.Commentf("memory of another process: %d MB", peak.others/1e6))
	c.Check(peak.descriptors <= descriptorBound, qt.IsTrue, qt.Commentf("open descriptors: %d", peak.descriptors))
	c.Check(open <= before+leftOpen, qt.IsTrue, qt.Commentf("descriptors after the crowd: %d, before it %d", open, before))
}

// playAll runs each crowd alone, and then all of them mixed, each against an entry of its own.
func playAll(t *testing.T, start func(t *testing.T, descriptors int) *target) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			play(t, start(t, manyDescriptors), crowd.use, manyDescriptors-reservedDescriptors)
		})
	}
	t.Run("mixed", func(t *testing.T) {
		play(t, start(t, manyDescriptors), mixed, manyDescriptors-reservedDescriptors)
	})
}

// playFewDescriptors runs crowds that open more connections than the entry has descriptors.
func playFewDescriptors(t *testing.T, start func(t *testing.T, descriptors int) *target) {
	for _, crowd := range crowds {
		switch crowd.name {
		case "idle", "heads of short lines", "whole bodies", "small chunks that stop short", "unread responses":
			t.Run(crowd.name, func(t *testing.T) {
				play(t, start(t, fewDescriptors), crowd.use, fewDescriptors-reservedDescriptors)
			})
		}
	}
	t.Run("mixed", func(t *testing.T) {
		play(t, start(t, fewDescriptors), mixed, fewDescriptors-reservedDescriptors)
	})
}

// Callers that hold large bodies, heads, connections or responses ended an entry of the users' platform: it ran out of memory.
func TestPlatformEntryBearsCallersThatExceedItsLimits(t *testing.T) {
	playAll(t, startPlatformEntry)
}

// Callers that request streams with large events and do not read them let an entry of the users' platform hold them, and let the kernel
// hold what servers send.
func TestPlatformEntryBearsCallersThatDoNotReadStreams(t *testing.T) {
	playStreams(t, startModelEntry)
}

// Callers of the brief's entry that do not read streams let it, and the agents of the group, keep them.
func TestEntryBearsCallersThatDoNotReadStreams(t *testing.T) {
	playStreams(t, startEntryOfGroup)
}

// playStreams runs crowds that request streams and do not read them, each against an entry of its own.
func playStreams(t *testing.T, start func(t *testing.T, descriptors int) *target) {
	for _, crowd := range []struct {
		name        string
		use         behavior
		descriptors int
	}{
		{"unread streams", unreadStream, manyDescriptors},
		{"slowly read streams", slowStream, manyDescriptors},
		{"unread streams, few descriptors", unreadStream, fewDescriptors},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			play(t, start(t, crowd.descriptors), crowd.use, crowd.descriptors-reservedDescriptors)
		})
	}
}

// Callers that do not read large responses hold the memory for those of other callers, who wait for it.
func TestEntriesBearCallersThatDoNotReadLargeResponses(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, descriptors int) *target{"platform entry": startPlatformEntry, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			target := start(t, manyDescriptors)
			target.get = target.getLarge
			play(t, target, unreadLargeResponse, manyDescriptors-reservedDescriptors)
		})
	}
}

// Callers that do not read responses near the limit let the expected answer time exceed all deadlines for ever, and agents hold the responses
// without a limit.
func TestAgentsBearCallersThatDoNotReadLongResponses(t *testing.T) {
	target := startEntry(t, manyDescriptors)
	target.get, target.getLarge = target.getLong, target.getLong
	play(t, target, unreadLargeResponse, manyDescriptors-reservedDescriptors)
}

// Callers that hold large bodies, heads, connections or responses let an entry use memory without a limit.
func TestEntryBearsCallersThatExceedItsLimits(t *testing.T) {
	playAll(t, startEntry)
}

// Callers that use up the descriptors left none for connections to servers, and ordinary callers waited for their timeouts.
func TestPlatformEntryBearsMoreCallersThanDescriptors(t *testing.T) {
	playFewDescriptors(t, startPlatformEntry)
}

// The same at an entry of the brief's kind.
func TestEntryBearsMoreCallersThanDescriptors(t *testing.T) {
	playFewDescriptors(t, startEntry)
}

// chunkedText returns a body in chunks of a size, with its end.
func chunkedText(body string, bytes int) string {
	var text strings.Builder
	for len(body) > 0 {
		part := body[:min(bytes, len(body))]
		body = body[len(part):]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String() + "0\r\n\r\n"
}

// Limits against crowds must not refuse a single request at the limits of the interface, however it is sent.
func TestEntriesServeSingleRequestsAtTheirLimits(t *testing.T) {
	const piece = 16 << 10
	length := fmt.Sprintf("Content-Length: %d", bodyLimit)
	for name, start := range map[string]func(t *testing.T, descriptors int) *target{"platform entry": startPlatformEntry, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			target := start(t, fewDescriptors)
			build := target.post
			if name == "entry" {
				// Requests with a run key wait for other entries, which the test does not start.
				build = target.get
			}
			requests := map[string]string{
				"whole body":   headText(build(newID()), length) + "\r\n" + legalBody(bodyLimit),
				"large chunks": headText(build(newID()), chunked) + "\r\n" + chunkedText(legalBody(bodyLimit), 64<<10),
				"small chunks": headText(build(newID()), chunked) + "\r\n" + chunkedText(legalBody(bodyLimit), 16),
			}
			head := headText(target.get(newID()))
			for i := 0; len(head) < headLimit-100; i++ {
				head += fmt.Sprintf("f%x:\r\n", i)
			}
			requests["many fields"] = head + "\r\n"
			for name, text := range requests {
				for _, pause := range []time.Duration{0, time.Millisecond} {
					t.Run(fmt.Sprint(name, ", pauses of ", pause), func(t *testing.T) {
						c := qt.New(t)
						conn, err := net.Dial("tcp", target.callers)
						c.Assert(err, qt.IsNil)
						defer func() { _ = conn.Close() }()
						for part := range slices.Chunk([]byte(text), piece) {
							_, err := conn.Write(part)
							c.Assert(err, qt.IsNil)
							time.Sleep(pause)
						}
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						c.Assert(err, qt.IsNil)
						answer, err := io.ReadAll(response.Body)
						c.Assert(err, qt.IsNil)
						c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
					})
				}
			}
		})
	}
}
