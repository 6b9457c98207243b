package rankagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// A statement that is repeated, or replaced by a newer one, must not count twice, and the demand of an entry that ended must not
// count at all. Reports without new sums save the leader's link.
func TestLeaderSumsTheNewestDemandOfEachEntry(t *testing.T) {
	c := qt.New(t)
	entry := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7340) }
	share := func(rate float32) []datagram.DemandShare {
		return []datagram.DemandShare{{Customer: "a", Priority: 1, Rate: rate, Retries: rate / 4}}
	}
	now := time.Unix(1000, 0)
	demand := entryDemand{}
	c.Assert(demand.due(now), qt.HasLen, 0)
	demand.record(entry(1), share(10))
	demand.record(entry(1), share(20))
	demand.record(entry(1), share(20))
	demand.record(entry(2), share(4))
	c.Assert(demand.due(now), qt.DeepEquals, share(24))
	c.Assert(demand.due(now.Add(demandInterval/2)), qt.HasLen, 0)
	demand.forget(entry(1))
	c.Assert(demand.due(now.Add(demandInterval)), qt.DeepEquals, share(4))
	demand.record(entry(2), nil)
	c.Assert(demand.due(now.Add(2*demandInterval)), qt.HasLen, 0)
}

// The sums of many entries with many customers must fit into a report of a few packets.
func TestDemandInReportsIsBounded(t *testing.T) {
	c := qt.New(t)
	demand := entryDemand{}
	for i := range 53 {
		var stated []datagram.DemandShare
		for j := range 200 {
			stated = append(stated, datagram.DemandShare{Customer: ident.Customer(rune('a'+i%26)) + ident.Customer(rune('a'+j%26)), Priority: j % 4, Rate: float32(j + 1)})
		}
		demand.record(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7340), stated)
	}
	sums := demand.due(time.Unix(1000, 0))
	c.Assert(len(sums) <= admission.MaxDemandItems, qt.IsTrue)
	data, err := cbor.Marshal(datagram.Message{GroupReport: &datagram.GroupReport{Demand: sums}})
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) < 2500, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
}

// An entry's demand must reach it again in the reports of a leader of real agents, and that of an entry without renewed
// subscription must be gone within 3 s and one report.
func TestDemandPassesThroughTheLeader(t *testing.T) {
	c := qt.New(t)
	group := newTestGroup()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.run(ctx)
	received := make(chan *datagram.GroupReport, 1000)
	listen := func(ip string) *datagram.Socket {
		entry, err := datagram.Listen(ip, 0, func(err error) { t.Log(err) })
		c.Assert(err, qt.IsNil)
		go entry.Receive(ctx, func(message datagram.Received) {
			if report := message.Message.GroupReport; report != nil && len(report.Demand) > 0 && ip == "127.0.7.101" {
				received <- report
			}
		})
		return entry
	}
	lasting, ended := listen("127.0.7.101"), listen("127.0.7.102")
	port := lasting.Address().Port()
	startAgents(t, group, int(port))
	subscribe := func(entry *datagram.Socket, rate float32) {
		message := datagram.Message{Subscribe: &datagram.Subscribe{
			Group: "g", Entry: entry.Address().String(), Demand: []datagram.DemandShare{{Customer: "a", Priority: 2, Rate: rate}},
		}}
		for rank := range 2 { // one of them forwards it to the leader
			entry.Send(netip.AddrPortFrom(netip.MustParseAddr(rankIP(rank)), port), message)
		}
	}
	reported := func(rate float32) func() bool {
		return func() bool {
			subscribe(lasting, 8)
			for {
				select {
				case report := <-received:
					if len(report.Demand) == 1 && report.Demand[0].Rate == rate {
						return true
					}
				default:
					return false
				}
			}
		}
	}
	eventually(c, "the sum of both entries", func() bool { subscribe(ended, 4); return reported(12)() })
	last := time.Now()
	eventually(c, "the demand of the remaining entry", reported(8))
	c.Assert(time.Since(last) < subscriptionTimeout+time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(last)))
}
