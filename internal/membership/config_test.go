package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// configHarness drives one configuration node; tests act as its peers and the configuration service.
type configHarness struct {
	c       *qt.C
	now     time.Time
	node    *membership.ConfigNode
	actions []membership.ConfigAction
}

func newConfigHarness(c *qt.C, layout membership.Layout, peers ...membership.Peer) *configHarness {
	h := &configHarness{c: c, now: start, node: membership.NewConfigNode(membership.ConfigSettings{
		Self: "vm-0", Zone: "z0", Key: configKey, Layout: layout, Accept: acceptConfig,
	})}
	h.step(membership.PeersChanged{Peers: peers})
	return h
}

func (h *configHarness) step(event membership.ConfigEvent) []membership.ConfigAction {
	actions := h.node.Step(h.now, event)
	h.actions = append(h.actions, actions...)
	return actions
}

func (h *configHarness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.step(membership.ConfigTick{})
	}
}

func (h *configHarness) receive(from ident.VM, message membership.ConfigMessage) []membership.ConfigAction {
	return h.step(membership.ConfigReceived{From: from, Message: message})
}

// drainActions returns the recorded actions of one type and clears all recorded actions.
func drainActions[T membership.ConfigAction](h *configHarness) []T {
	var list []T
	for _, action := range h.actions {
		if wanted, ok := action.(T); ok {
			list = append(list, wanted)
		}
	}
	h.actions = nil
	return list
}

// drainMessages returns the first recorded message of one type to each peer and clears all recorded
// actions.
func drainMessages[T membership.ConfigMessage](h *configHarness) map[ident.VM]T {
	sent := map[ident.VM]T{}
	for _, action := range drainActions[membership.SendConfig](h) {
		wanted, ok := action.Message.(T)
		if _, known := sent[action.To]; ok && !known {
			sent[action.To] = wanted
		}
	}
	return sent
}

// awaitCall advances the time until the node calls the configuration service for the key of the
// configuration, and returns the call.
func (h *configHarness) awaitCall() membership.ServiceCall {
	for range 100 {
		h.run(100 * time.Millisecond)
		for i, action := range h.actions {
			if call, ok := action.(membership.CallService); ok && call.Call.Key == configKey {
				h.actions = append(h.actions[:i:i], h.actions[i+1:]...)
				return call.Call
			}
		}
	}
	h.c.Fatal("the configuration service was not called")
	return membership.ServiceCall{}
}

// answer answers the next call for the key of the configuration.
func (h *configHarness) answer(revision uint64, value []byte) {
	h.step(membership.ServiceAnswered{Call: h.awaitCall().ID, Revision: revision, Value: value})
}

// answerParts answers the recorded calls for parts.
func (h *configHarness) answerParts(parts map[string][]byte) {
	for _, call := range drainActions[membership.CallService](h) {
		if part, ok := parts[call.Call.Key]; ok {
			h.step(membership.ServiceAnswered{Call: call.Call.ID, Value: part})
		}
	}
}

func stampOf(version template.Version) membership.Stamp {
	return membership.Stamp{Version: version, Digest: membership.DigestOf(configValue(version))}
}

// A lagging replica of the service may return an older version. It must not replace the newer one in
// force, and is reported once.
func TestOlderServiceValueIsNotPutInForce(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue)
	h.answer(5, configValue(5))
	h.answer(3, configValue(3))
	h.answer(3, configValue(3))
	older := drainActions[membership.ReportOlder](h)
	h.c.Assert(h.node.Status().InForce, qt.Equals, stampOf(5))
	h.c.Assert(older, qt.HasLen, 1)
	h.c.Assert(older[0].Offered, qt.Equals, stampOf(3))
}

// A malformed value in the service must not replace the configuration in force. It is reported once,
// although it is read repeatedly. The value of version 6 is malformed, see configValue.
func TestMalformedValueIsRefusedAndPreviousStaysInForce(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue)
	h.answer(5, configValue(5))
	h.answer(6, configValue(6))
	h.answer(6, configValue(6))
	refused := drainActions[membership.ReportRefused](h)
	h.c.Assert(refused, qt.HasLen, 1)
	h.c.Assert(refused[0].Reason, qt.Equals, "head: expected a version")
	h.c.Assert(h.node.Status().InForce.Version, qt.Equals, template.Version(5))
	h.c.Assert(h.node.Status().Refused.Digest, qt.Equals, membership.DigestOf(configValue(6)))
	h.answer(7, configValue(7))
	h.c.Assert(h.node.Status().InForce.Version, qt.Equals, template.Version(7))
}

// A broken connection must not delay changes: a watch without an answer is repeated over a new
// connection within 5 s, and a late answer to it is ignored.
func TestUnansweredWatchIsRepeatedOverNewConnection(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue)
	h.answer(5, configValue(5))
	unanswered := h.awaitCall()
	h.c.Assert(unanswered.Watch, qt.IsTrue)
	asked := h.now
	repeated := h.awaitCall()
	h.c.Assert(repeated.NewConnection, qt.IsTrue)
	h.c.Assert(h.now.Sub(asked) <= 5*time.Second, qt.IsTrue)
	h.step(membership.ServiceAnswered{Call: unanswered.ID, Revision: 5, Value: configValue(4)})
	h.step(membership.ServiceAnswered{Call: repeated.ID, Revision: 7, Value: configValue(7)})
	h.c.Assert(h.node.Status().InForce.Version, qt.Equals, template.Version(7))
}

// A process that was paused may have missed versions. It must not be ready before its peers have
// answered again.
func TestGapMakesProcessAskPeersAgain(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue, membership.Peer{VM: "vm-1", Zone: "z0"})
	h.receive("vm-1", membership.ConfigDigest{})
	h.answer(5, configValue(5))
	h.c.Assert(h.node.Status().Ready, qt.IsTrue)
	drainMessages[membership.ConfigDigest](h)
	h.now = h.now.Add(time.Minute)
	h.step(membership.ConfigTick{})
	h.c.Assert(h.node.Status().Ready, qt.IsFalse)
	asked := drainMessages[membership.ConfigDigest](h)
	h.c.Assert(asked["vm-1"].Ask, qt.IsTrue)
	h.receive("vm-1", membership.ConfigDigest{Held: stampOf(5)})
	h.c.Assert(h.node.Status().Ready, qt.IsTrue)
}

// Parts and manifest may be read from replicas that differ. A part of another version is read again
// until it matches the manifest.
func TestPartsOfDifferentVersionsAreNeverMixed(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.ManifestOfParts)
	head, body := []byte("5\n"), []byte("customers\n")
	manifest := fmt.Appendf(nil, `{"version":5,"parts":[{"key":"head","digest":%q},{"key":"body","digest":%q}]}`,
		membership.NewPublishedPart("head", head).Digest, membership.NewPublishedPart("body", body).Digest)
	h.answer(5, manifest)
	parts := map[string][]byte{"head": []byte("4\n"), "body": body}
	h.answerParts(parts)
	h.run(400 * time.Millisecond)
	h.c.Assert(h.node.Status().InForce.IsZero(), qt.IsTrue)
	parts["head"] = head
	for range 20 {
		h.run(100 * time.Millisecond)
		h.answerParts(parts)
	}
	h.c.Assert(h.node.Status().InForce.Version, qt.Equals, template.Version(5))
}

// A manifest may state another version than its parts contain.
func TestManifestWithWrongVersionIsRefused(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.ManifestOfParts)
	head := []byte("4\n")
	manifest := fmt.Appendf(nil, `{"version":5,"parts":[{"key":"head","digest":%q}]}`, membership.NewPublishedPart("head", head).Digest)
	h.answer(5, manifest)
	h.answerParts(map[string][]byte{"head": head})
	h.c.Assert(h.node.Status().InForce.IsZero(), qt.IsTrue)
	h.c.Assert(h.node.Status().Refused, qt.IsNotNil)
}

func TestParseManifestErrors(t *testing.T) {
	const digest = "0123456789abcdef"
	cases := []struct{ name, text, fault string }{
		{"garbage", `{`, "unexpected EOF"},
		{"unknown field", `{"version":1,"colour":2}`, "unknown field"},
		{"no version", `{"parts":[{"key":"a","digest":"` + digest + `"}]}`, "version"},
		{"no parts", `{"version":1,"parts":[]}`, "parts: expected"},
		{"short digest", `{"version":1,"parts":[{"key":"a","digest":"01"}]}`, "parts[0]"},
		{"bad digest", `{"version":1,"parts":[{"key":"a","digest":"xx23456789abcdef"}]}`, "parts[0]"},
		{"no key", `{"version":1,"parts":[{"digest":"` + digest + `"}]}`, "parts[0]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := membership.ParseManifest([]byte(tc.text))
			qt.Assert(t, err.Error(), qt.Contains, tc.fault)
		})
	}
}

// A peer that has failed must not block the fetch of a configuration that another peer has too.
func TestUnansweredFetchGoesToNextSource(t *testing.T) {
	peers := []membership.Peer{{VM: "vm-1", Zone: "z0"}, {VM: "vm-2", Zone: "z1"}}
	h := newConfigHarness(qt.New(t), membership.SingleValue, peers...)
	h.receive("vm-2", membership.ConfigDigest{Held: stampOf(5)})
	h.receive("vm-1", membership.ConfigDigest{Held: stampOf(5)})
	first := drainMessages[membership.ConfigFetch](h)
	h.c.Assert(first, qt.HasLen, 1)
	h.run(400 * time.Millisecond)
	second := drainMessages[membership.ConfigFetch](h)
	h.c.Assert(second, qt.HasLen, 1)
	for vm := range first {
		_, again := second[vm]
		h.c.Assert(again, qt.IsFalse)
	}
}

// A peer may offer the newest version and then never send it. An older version that another peer sends
// must still come into force.
func TestUnavailableVersionDoesNotBlockOthers(t *testing.T) {
	peers := []membership.Peer{{VM: "vm-1", Zone: "z0"}, {VM: "vm-2", Zone: "z0"}}
	h := newConfigHarness(qt.New(t), membership.SingleValue, peers...)
	h.receive("vm-1", membership.ConfigDigest{Held: stampOf(5)})
	h.receive("vm-2", membership.ConfigDigest{Held: stampOf(4)})
	whole := configValue(4)
	for range 100 {
		h.run(100 * time.Millisecond)
		h.receive("vm-2", membership.ConfigDigest{Held: stampOf(4)})
		if fetch, asked := drainMessages[membership.ConfigFetch](h)["vm-2"]; asked {
			h.c.Assert(fetch.Want, qt.Equals, stampOf(4))
			h.receive("vm-2", membership.ConfigManifest{Stamp: stampOf(4), Segments: []membership.Segment{{Chunks: []membership.Digest{membership.DigestOf(whole)}}}, Bodies: [][]byte{whole}})
		}
	}
	h.c.Assert(h.node.Status().InForce, qt.Equals, stampOf(4))
	h.c.Assert(h.node.Status().Ready, qt.IsTrue)
}

func TestOversizedPartIsRefused(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.ManifestOfParts)
	part := append([]byte("5\n"), make([]byte, membership.MaxPartSize)...)
	manifest := fmt.Appendf(nil, `{"version":5,"parts":[{"key":"all","digest":%q}]}`, membership.NewPublishedPart("all", part).Digest)
	h.answer(5, manifest)
	h.answerParts(map[string][]byte{"all": part})
	h.c.Assert(h.node.Status().InForce.IsZero(), qt.IsTrue)
	h.c.Assert(h.node.Status().Refused, qt.IsNotNil)
	h.c.Assert(h.node.Status().Refused.Reason, qt.Contains, "part all")
}

// A process that started without peers becomes ready on its own. Once it has peers, it must ask them
// for newer versions before it serves.
func TestProcessWithoutPeersAsksOnceItHasSome(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue)
	h.answer(3, configValue(3))
	h.c.Assert(h.node.Status().Ready, qt.IsTrue)
	h.actions = nil
	h.step(membership.PeersChanged{Peers: []membership.Peer{{VM: "vm-1", Zone: "z0"}}})
	h.c.Assert(h.node.Status().Ready, qt.IsFalse)
	h.c.Assert(drainMessages[membership.ConfigDigest](h)["vm-1"].Ask, qt.IsTrue)
	h.receive("vm-1", membership.ConfigDigest{Held: stampOf(3)})
	h.c.Assert(h.node.Status().Ready, qt.IsTrue)
}

// Only agents may become readers while there are enough of them.
func TestAgentsArePreferredReaders(t *testing.T) {
	peers := make([]membership.Peer, 12)
	for i := range peers {
		peers[i] = membership.Peer{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: "z0", Agent: i%4 == 0}
	}
	for _, peer := range peers {
		node := membership.NewConfigNode(membership.ConfigSettings{Self: peer.VM, Zone: peer.Zone, Agent: peer.Agent, Key: configKey, Accept: acceptConfig})
		node.Step(start, membership.PeersChanged{Peers: peers})
		for at := time.Duration(0); at < 2500*time.Millisecond; at += 100 * time.Millisecond {
			node.Step(start.Add(at), membership.ConfigTick{})
		}
		if node.Status().Reader {
			qt.Check(t, peer.Agent, qt.IsTrue, qt.Commentf("%s", peer.VM))
		}
	}
}

// Digests to random peers of a large fleet would open a connection to every peer.
func TestDigestsGoToFewPeers(t *testing.T) {
	var peers []membership.Peer
	for i := range 400 {
		peers = append(peers, membership.Peer{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%4))})
	}
	h := newConfigHarness(qt.New(t), membership.SingleValue, peers...)
	h.run(5 * time.Second)
	h.actions = nil
	h.run(5 * time.Minute)
	times := map[ident.VM]int{}
	for _, sent := range drainActions[membership.SendConfig](h) {
		times[sent.To]++
	}
	often := 0
	for _, count := range times {
		if count > 10 {
			often++
		}
	}
	h.c.Assert(often >= 4 && often <= 16, qt.IsTrue, qt.Commentf("%d frequently used connections", often))
	h.c.Assert(len(times) <= 60, qt.IsTrue, qt.Commentf("%d connections in all", len(times)))
}

// A peer that sends damaged chunks must not make the process refuse the version: it is fetched from
// another peer.
func TestDamagedTransferDoesNotRefuseConfiguration(t *testing.T) {
	peers := []membership.Peer{{VM: "vm-1", Zone: "z0"}, {VM: "vm-2", Zone: "z0"}}
	h := newConfigHarness(qt.New(t), membership.SingleValue, peers...)
	h.receive("vm-1", membership.ConfigDigest{Held: stampOf(5)})
	damaged := []byte("5\nother")
	h.receive("vm-1", membership.ConfigManifest{Stamp: stampOf(5), Segments: []membership.Segment{{Chunks: []membership.Digest{membership.DigestOf(damaged)}}}, Bodies: [][]byte{damaged}})
	h.c.Assert(h.node.Status().InForce.IsZero(), qt.IsTrue)
	h.receive("vm-2", membership.ConfigDigest{Held: stampOf(5)})
	whole := configValue(5)
	h.receive("vm-2", membership.ConfigManifest{Stamp: stampOf(5), Segments: []membership.Segment{{Chunks: []membership.Digest{membership.DigestOf(whole)}}}, Bodies: [][]byte{whole}})
	h.c.Assert(h.node.Status().InForce, qt.Equals, stampOf(5))
}

// A refused configuration that a peer offers would be fetched and refused again and again. The value of
// version 6 is malformed, see configValue, so no version can be read from it and its stamp has version 0.
func TestRefusedConfigurationIsNotFetchedAgain(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.SingleValue, membership.Peer{VM: "vm-1", Zone: "z0"})
	h.receive("vm-1", membership.ConfigDigest{})
	h.answer(6, configValue(6))
	h.c.Assert(h.node.Status().Refused, qt.IsNotNil)
	h.receive("vm-1", membership.ConfigDigest{Held: membership.Stamp{Digest: membership.DigestOf(configValue(6))}})
	h.c.Assert(drainMessages[membership.ConfigFetch](h), qt.HasLen, 0)
}

// A change of one part must be sent as a delta to a peer that has a recent version, and as a whole to
// others.
func TestChangesAreSentAsDeltas(t *testing.T) {
	h := newConfigHarness(qt.New(t), membership.ManifestOfParts)
	publish := func(version int) {
		parts := [][]byte{fmt.Appendf(nil, "%d\n", version)}
		for i := range 50 {
			parts = append(parts, fmt.Appendf(nil, "customer %d, %0100d\n", i, i))
		}
		parts[1+version%50] = fmt.Appendf(nil, "changed in %d\n", version)
		var list string
		bodies := map[string][]byte{}
		for i, part := range parts {
			published := membership.NewPublishedPart(fmt.Sprintf("part-%d", i), part)
			bodies[published.Key] = part
			if i > 0 {
				list += ","
			}
			list += fmt.Sprintf(`{"key":%q,"digest":%q}`, published.Key, published.Digest)
		}
		h.answer(uint64(version), fmt.Appendf(nil, `{"version":%d,"parts":[%s]}`, version, list))
		for range 30 {
			h.answerParts(bodies)
			h.run(100 * time.Millisecond)
		}
		h.c.Assert(h.node.Status().InForce.Version, qt.Equals, template.Version(version))
	}
	stamps := map[int]membership.Stamp{}
	for version := 1; version <= 12; version++ {
		publish(version)
		stamps[version] = h.node.Status().InForce
	}
	manifest := func(have membership.Stamp) membership.ConfigManifest {
		actions := h.receive("vm-1", membership.ConfigFetch{Want: stamps[12], Have: have})
		return actions[len(actions)-1].(membership.SendConfig).Message.(membership.ConfigManifest)
	}
	delta := manifest(stamps[11])
	h.c.Check(delta.Base, qt.Equals, stamps[11])
	h.c.Check(len(delta.Bodies) <= 3, qt.IsTrue, qt.Commentf("%d chunks sent", len(delta.Bodies)))
	whole := manifest(stamps[1])
	h.c.Check(whole.Base.IsZero(), qt.IsTrue)
	h.c.Check(whole.Bodies, qt.HasLen, 51)
}

func TestProcessWithoutAnswersReadsService(t *testing.T) {
	// Two of five processes are readers. Two more become readers because they receive no
	// heartbeats. The last one waits one second for answers, eight for the readers, and up to one
	// more, because five processes a second read the service.
	readers, others := 0, 0
	for i := range 5 {
		var peers []membership.Peer
		for j := range 5 {
			peers = append(peers, membership.Peer{VM: ident.VM(fmt.Sprintf("vm-%d", j)), Zone: "z0"})
		}
		node := membership.NewConfigNode(membership.ConfigSettings{Self: peers[i].VM, Zone: "z0", Key: configKey, Accept: acceptConfig})
		node.Step(start, membership.PeersChanged{Peers: peers})
		called := false
		for at := time.Duration(0); at <= 10200*time.Millisecond; at += 100 * time.Millisecond {
			for _, action := range node.Step(start.Add(at), membership.ConfigTick{}) {
				_, isCall := action.(membership.CallService)
				called = called || isCall
			}
		}
		qt.Check(t, called, qt.IsTrue)
		if node.Status().Reader {
			readers++
		} else {
			others++
		}
	}
	qt.Check(t, readers, qt.Equals, 4)
	qt.Check(t, others, qt.Equals, 1)
}
