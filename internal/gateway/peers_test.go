package gateway

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

// maxHelloBytes keeps a hello within one packet.
const maxHelloBytes = 1200

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7340)
}

// reachable returns the number of entries that news of one entry can reach from entry to entry.
func reachable(directories map[netip.AddrPort]*peerDirectory, first netip.AddrPort) int {
	reached := map[netip.AddrPort]bool{first: true}
	for next := []netip.AddrPort{first}; len(next) > 0; {
		directory := directories[next[0]]
		next = next[1:]
		for peer := range directory.heardAt {
			if !reached[peer] {
				reached[peer] = true
				next = append(next, peer)
			}
		}
	}
	return len(reached)
}

// Entries that only seeds introduce to each other must find enough others that news reaches all, and forget those that are
// gone. If messages grew with the number of entries, 360 of them would exceed the budget for control messages.
func TestEntriesFindEachOther(t *testing.T) {
	const entries = 360
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	seeds := []netip.Addr{peerAddress(0).Addr(), peerAddress(1).Addr()}
	directories := map[netip.AddrPort]*peerDirectory{}
	for i := range entries {
		directories[peerAddress(i)] = newPeerDirectory(now, peerAddress(i), seeds, random)
	}
	largest, sent := 0, 0
	step := func() {
		now = now.Add(200 * time.Millisecond)
		for i := range entries {
			from := directories[peerAddress(i)]
			if from == nil {
				continue
			}
			for _, to := range from.helloTargets(now) {
				known := from.known(now)
				data, err := cbor.Marshal(datagram.Message{Hello: &datagram.Hello{Peers: known, CrashDigest: 1 << 63}})
				qt.Assert(t, err, qt.IsNil)
				largest = max(largest, len(data))
				sent++
				receiver := directories[to]
				if receiver == nil {
					continue
				}
				joined := receiver.recordHeard(now, from.self, now)
				receiver.merge(now, known)
				if joined { // Gateway.handleHello answers
					from.recordHeard(now, to, now)
					from.merge(now, receiver.known(now))
				}
			}
		}
	}
	for range 150 {
		step()
	}
	fewest := entries
	for _, directory := range directories {
		fewest = min(fewest, len(directory.heardAt))
	}
	t.Logf("after 30 s an entry knows at least %d others; %.1f hellos a second and entry of at most %d bytes", fewest, float64(sent)/entries/30, largest)
	qt.Check(t, fewest >= maxHelloPeers, qt.IsTrue, qt.Commentf("an entry knows %d others", fewest))
	qt.Check(t, reachable(directories, peerAddress(entries-1)), qt.Equals, entries, qt.Commentf("entries that news of one can reach"))
	qt.Check(t, largest <= maxHelloBytes, qt.IsTrue, qt.Commentf("%d bytes", largest))
	gone := peerAddress(7)
	delete(directories, gone)
	for range 300 {
		step()
	}
	for address, directory := range directories {
		_, known := directory.heardAt[gone]
		qt.Check(t, known, qt.IsFalse, qt.Commentf("%s still knows an entry that is gone", address))
	}
}
