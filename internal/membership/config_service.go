package membership

import (
	"time"
)

const (
	// serviceTimeout is how long the process waits for the answer to a read.
	serviceTimeout = 5 * time.Second
	// watchWait is how long a watch waits for a change. It is short, so that a broken connection does
	// not delay a change for long.
	watchWait = 4 * time.Second
	// watchGrace is the extra time allowed for the answer to a watch.
	watchGrace = 500 * time.Millisecond
	// minServiceBackoff and maxServiceBackoff bound the wait after a failed call.
	minServiceBackoff = 500 * time.Millisecond
	maxServiceBackoff = 15 * time.Second
	// minWatchPause is the pause after an answer that brought nothing newer, for example from a
	// lagging replica of the service.
	minWatchPause = 500 * time.Millisecond
)

// serviceCalls is the state of the calls to the configuration service.
type serviceCalls struct {
	calls      uint64
	failures   uint64
	lastCallID CallID
	// mainCall is the open call for the key of the configuration; 0 if none is open.
	mainCall     CallID
	mainDeadline time.Time
	// timedOut is true if the last call got no answer.
	timedOut      bool
	revision      uint64
	revisionKnown bool
	nextCallAt    time.Time
	backoff       time.Duration
	download      partsDownload
	lastOlder     Stamp
}

// tickService keeps one call for the key of the configuration open while the process is a reader.
func (n *ConfigNode) tickService(now time.Time) {
	r := &n.reader
	if r.mainCall != 0 && !now.Before(r.mainDeadline) {
		n.handleCallTimeout(now)
	}
	n.tickDownload(now)
	if r.mainCall != 0 || now.Before(r.nextCallAt) || r.download.active() {
		return
	}
	if r.active || n.needsFallback(now) {
		n.callMain(now)
	}
}

// needsFallback reports whether a process that is not a reader must read the service because no peer
// has a configuration.
func (n *ConfigNode) needsFallback(now time.Time) bool {
	return n.current == nil && n.newest.IsZero() && !now.Before(n.reader.fallbackAt)
}

func (n *ConfigNode) callMain(now time.Time) {
	r := &n.reader
	call := ServiceCall{Key: n.settings.Key, Watch: r.revisionKnown && r.active, After: r.revision, NewConnection: r.timedOut}
	timeout := serviceTimeout
	if call.Watch {
		call.Wait = watchWait
		timeout = watchWait + watchGrace
	}
	r.mainCall = n.startCall(call)
	r.mainDeadline = now.Add(timeout)
}

// handleCallTimeout abandons a call. The first call without an answer is repeated at once over a new
// connection, as the connection may be at fault; later ones are repeated with a backoff.
func (n *ConfigNode) handleCallTimeout(now time.Time) {
	r := &n.reader
	r.mainCall = 0
	if r.timedOut {
		n.backOff(now)
		return
	}
	r.timedOut = true
	r.failures++
	r.nextCallAt = now
}

// startCall starts a call to the configuration service and returns its ID.
func (n *ConfigNode) startCall(call ServiceCall) CallID {
	r := &n.reader
	r.lastCallID++
	r.calls++
	call.ID = r.lastCallID
	n.emit(CallService{Call: call})
	return call.ID
}

func (n *ConfigNode) handleServiceFailure(now time.Time, event ServiceFailed) {
	switch {
	case event.Call == n.reader.mainCall && event.Call != 0:
		n.reader.mainCall = 0
		n.backOff(now)
	case n.reader.download.hasCall(event.Call):
		n.handlePartFailure(now, event.Call)
	}
}

// backOff delays the next call after a failure, exponentially and with jitter.
func (n *ConfigNode) backOff(now time.Time) {
	r := &n.reader
	r.failures++
	r.backoff = min(max(2*r.backoff, minServiceBackoff), maxServiceBackoff)
	r.nextCallAt = now.Add(r.backoff/2 + time.Duration(n.random.below(int(r.backoff))))
	// Revisions may differ after the service has recovered, so the next call is a plain read.
	r.revisionKnown = false
}

func (n *ConfigNode) handleServiceAnswer(now time.Time, event ServiceAnswered) {
	r := &n.reader
	if r.download.hasCall(event.Call) {
		n.handlePart(now, event)
		return
	}
	if event.Call != r.mainCall || event.Call == 0 {
		return
	}
	r.mainCall = 0
	r.timedOut = false
	r.backoff = 0
	r.nextCallAt = now
	if !event.Unchanged {
		n.handleMainAnswer(now, event)
	}
	if r.active {
		n.tickService(now)
	}
}

func (n *ConfigNode) handleMainAnswer(now time.Time, event ServiceAnswered) {
	r := &n.reader
	r.revision, r.revisionKnown = event.Revision, true
	before := n.stamp()
	if n.settings.Layout == ManifestOfParts {
		n.handlePublishedManifest(now, event.Value)
	} else {
		n.handlePublishedValue(now, event.Value)
	}
	if n.stamp() == before {
		r.nextCallAt = now.Add(minWatchPause)
	}
}

// handlePublishedValue handles a whole configuration from the service.
func (n *ConfigNode) handlePublishedValue(now time.Time, value []byte) {
	if n.current != nil && DigestOf(value) == n.current.stamp.Digest {
		return
	}
	version, err := n.settings.Accept(value)
	if err != nil {
		n.refuseOnce(Stamp{Version: version, Digest: DigestOf(value)}, err.Error())
		return
	}
	n.putPublishedInForce(now, Stamp{Version: version, Digest: DigestOf(value)}, splitValue(value))
}

// putPublishedInForce puts a configuration from the service in force unless a newer one is.
func (n *ConfigNode) putPublishedInForce(now time.Time, stamp Stamp, chunks []chunk) {
	if stamp.Less(n.stamp()) {
		n.reportOlder(stamp)
		return
	}
	n.putInForce(now, "", stamp, chunks)
}

func (n *ConfigNode) reportOlder(stamp Stamp) {
	if n.reader.lastOlder == stamp {
		return
	}
	n.reader.lastOlder = stamp
	n.emit(ReportOlder{Offered: stamp, InForce: n.stamp()})
}

func (n *ConfigNode) refuseOnce(stamp Stamp, reason string) {
	if !n.isRefused(stamp) {
		n.refuse(stamp, reason)
	}
}
