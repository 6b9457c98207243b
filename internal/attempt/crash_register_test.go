package attempt_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// registerNumber is the number of the register under test. No entry that reports to it has this number.
const registerNumber = 1 << 32

// crash records an end of a server during one run of a request.
func crash(register *attempt.CrashRegister, now time.Time, server string, fingerprint attempt.Fingerprint) {
	endRun(register, now, server, fingerprint, crashRunTime)
}

// endRun records an end of a server that cut off one run of a request after the given time.
func endRun(register *attempt.CrashRegister, now time.Time, server string, fingerprint attempt.Fingerprint, duration time.Duration) {
	instance := attempt.ServerInstance{ID: server}
	register.RecordBroken(now, instance, attempt.BrokenSend{Suspected: []attempt.Fingerprint{fingerprint}, StartedAt: now.Add(-duration)})
	register.RecordEnd(now, instance, "service")
}

// unknown is the knowledge of an entry whose servers have survived no trait.
func unknown(attempt.Fingerprint) bool { return false }

// A register that keeps all requests that ever ran at a crash grows without a bound if many different requests crash
// servers, at this entry or at others.
func TestManyCrashRequestsTakeBoundedMemory(t *testing.T) {
	const ownRequests, otherRequests, limitBytes = 1_000, 20_000, 12 << 20
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := start
	numbered := func(i int) (fingerprint attempt.Fingerprint) {
		binary.BigEndian.PutUint64(fingerprint[:], uint64(i+1)<<40)
		return fingerprint
	}
	for i := range ownRequests {
		for end := range 3 {
			now = now.Add(100 * time.Millisecond)
			crash(register, now, fmt.Sprintf("server-%d-%d", i, end), numbered(i))
		}
		register.Tick(now)
	}
	for i := range otherRequests {
		notice := attempt.QuarantineNotice{Fingerprint: numbered(ownRequests + i), ExpiresIn: time.Hour}
		register.Merge(now, attempt.CrashUpdate{Quarantined: []attempt.QuarantineNotice{notice}}, unknown)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	suspects, quarantined, _ := register.Counts()
	t.Logf("%d suspects, %d quarantined, %d bytes", suspects, quarantined, used)
	qt.Check(t, quarantined > 10_000, qt.IsTrue)
	qt.Check(t, used < limitBytes, qt.IsTrue, qt.Commentf("%d bytes", used))
}

// Each request has 32 parts that no other has, and ends a server. Without bounds, the parts would fill the memory, and
// weighing them would take the control thread's time.
func TestManyDifferentPartsTakeBoundedMemoryAndTime(t *testing.T) {
	const requests, partsPerRequest, limitBytes = 5_000, 32, 24 << 20
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 100)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began, now, number := time.Now(), start, uint64(0)
	bad := attempt.NewPartFingerprint("bad")
	for i := range requests {
		now = now.Add(10 * time.Millisecond)
		instance := attempt.ServerInstance{ID: fmt.Sprint("server-", i)}
		send := attempt.BrokenSend{StartedAt: now.Add(-crashRunTime), Suspected: []attempt.Fingerprint{{1}}}
		binary.BigEndian.PutUint64(send.Suspected[0][1:], uint64(2*i))
		for range partsPerRequest {
			number++
			send.Suspected = append(send.Suspected, attempt.NewPartFingerprint(ident.PromptPart(strconv.FormatUint(number, 10))))
		}
		if i%20 == 0 {
			send.Suspected = append(send.Suspected, bad)
		}
		register.RecordBroken(now, instance, send)
		register.RecordEnd(now, instance, "service")
		register.Status(now, send.Suspected)
		register.TakeChanges(now, 4)
	}
	elapsed := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	suspects, quarantined, dropped := register.Counts()
	t.Logf("%s for %d ends, %d suspects, %d quarantined, %d dropped, %d bytes", elapsed, requests, suspects, quarantined, dropped, used)
	qt.Check(t, used < limitBytes, qt.IsTrue, qt.Commentf("%d bytes", used))
	qt.Check(t, register.Status(now, []attempt.Fingerprint{bad}), qt.Equals, attempt.RequestQuarantined)
	runtime.KeepAlive(register)
}

// Entries receive each other's updates in different orders, some of them twice. If the result depended on the order, they
// would disagree on which requests to refuse, and send each other updates for ever.
func TestUpdatesInAnyOrderGiveTheSameRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []*attempt.CrashRegister{}
		for i := range 3 {
			sources = append(sources, attempt.NewCrashRegister(attempt.DefaultCrashConfig(), uint64(i+1)))
		}
		now := start
		var updates []attempt.CrashUpdate
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			register := sources[rapid.IntRange(0, 2).Draw(t, "register")]
			fingerprint := attempt.Fingerprint{byte(rapid.IntRange(1, 4).Draw(t, "request"))}
			if rapid.Bool().Draw(t, "served") {
				register.RecordServed(now, []attempt.Fingerprint{fingerprint})
			} else {
				crash(register, now, fmt.Sprint("server-", rapid.IntRange(1, 6).Draw(t, "server")), fingerprint)
			}
			updates = append(updates, register.TakeChanges(now, 4)...)
		}
		first, second := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), 4), attempt.NewCrashRegister(attempt.DefaultCrashConfig(), 5)
		for i := range updates {
			first.Merge(now, updates[i], unknown)
		}
		order := rapid.Permutation(append(updates, updates...)).Draw(t, "order")
		for i := range order {
			second.Merge(now, order[i], unknown)
		}
		if first.Digest() != second.Digest() {
			t.Fatalf("digests differ: %x and %x", first.Digest(), second.Digest())
		}
	})
}

// A reset or a frozen server breaks sends without the server's end; the server answers again, or stays listed. Requests
// that were broken so are not suspects.
func TestBrokenSendsToLivingServersAreNoEvidence(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 3)
	fingerprint, now := attempt.Fingerprint{1}, start
	for i := range 20 {
		server := attempt.ServerInstance{ID: fmt.Sprint("server-", i%3)}
		now = now.Add(time.Second)
		register.RecordBroken(now, server, attempt.BrokenSend{Suspected: []attempt.Fingerprint{fingerprint}, StartedAt: now.Add(-crashRunTime)})
		register.RecordReached(now, server, now.Add(time.Millisecond))
		register.Tick(now)
	}
	c.Assert(register.Status(now, []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestNormal)
	// The servers end later, for another reason.
	for i := range 3 {
		register.RecordEnd(now, attempt.ServerInstance{ID: fmt.Sprint("server-", i)}, "service")
	}
	register.Tick(now.Add(time.Second))
	c.Assert(register.Status(now.Add(time.Second), []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestNormal)
}

// The servers that a request has ended leave the list seconds before others replace them. If only the listed ones counted, each
// earlier end would look likelier by chance, and the request could run once more on each server that returns.
func TestEndsCountAmongTheServersListedBefore(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 3)
	fingerprint, now := attempt.Fingerprint{1}, start
	for i := range 3 {
		now = now.Add(200 * time.Millisecond)
		endRun(register, now, fmt.Sprint("server-", i), fingerprint, 100*time.Millisecond)
	}
	now = now.Add(3 * time.Second)
	register.SetServers(now, "service", 0)
	now = now.Add(500 * time.Millisecond)
	register.SetServers(now, "service", 1)
	now = now.Add(200 * time.Millisecond)
	endRun(register, now, "server-3", fingerprint, 100*time.Millisecond)
	now = now.Add(200 * time.Millisecond)
	c.Assert(register.Status(now, []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestQuarantined)
}

// Several callers send a request that ends all servers of a small service at the same moment, which counts as one event. If
// each trial run added no more than a chance end does, three of them would end servers, as many as the platform tolerates.
func TestTwoTrialRunsThatEndServersAreEnough(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 3)
	fingerprint, now := attempt.Fingerprint{1}, start
	for i := range 3 {
		endRun(register, now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("server-", i), fingerprint, 100*time.Millisecond)
	}
	for i := range 2 {
		now = now.Add(4 * time.Second)
		c.Assert(register.Status(now, []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestSuspect)
		endRun(register, now, fmt.Sprint("server-", 3+i), fingerprint, 100*time.Millisecond)
	}
	now = now.Add(200 * time.Millisecond)
	c.Assert(register.Status(now, []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestQuarantined)
}
