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
	// pauseWithoutChange is the pause after the service returned a value that put no new configuration in
	// force at once: the value is not newer, for example from a lagging replica of the service, it is
	// refused, or its parts must still be read.
	pauseWithoutChange = 500 * time.Millisecond
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
	a := &n.access
	if a.mainCall != 0 && !now.Before(a.mainDeadline) {
		n.handleCallTimeout(now)
	}
	n.tickDownload(now)
	if a.mainCall != 0 || now.Before(a.nextCallAt) || a.download.active() {
		return
	}
	if a.reading || n.needsFallback(now) {
		n.callMain(now)
	}
}

// needsFallback reports whether a process that is not a reader must read the service because no peer
// has a configuration.
func (n *ConfigNode) needsFallback(now time.Time) bool {
	return n.current == nil && n.newest.IsZero() && !now.Before(n.access.fallbackAt)
}

func (n *ConfigNode) callMain(now time.Time) {
	a := &n.access
	call := ServiceCall{Key: n.settings.Key, Watch: a.revisionKnown && a.reading, After: a.revision, NewConnection: a.timedOut}
	timeout := serviceTimeout
	if call.Watch {
		call.Wait = watchWait
		timeout = watchWait + watchGrace
	}
	a.mainCall = n.startCall(call)
	a.mainDeadline = now.Add(timeout)
}

// handleCallTimeout abandons a call. The first call without an answer is repeated at once over a new
// connection, as the connection may be at fault; later ones are repeated with a backoff.
func (n *ConfigNode) handleCallTimeout(now time.Time) {
	a := &n.access
	a.mainCall = 0
	if a.timedOut {
		n.backOff(now)
		return
	}
	a.timedOut = true
	a.failures++
	a.nextCallAt = now
}

// startCall starts a call to the configuration service and returns its ID.
func (n *ConfigNode) startCall(call ServiceCall) CallID {
	a := &n.access
	a.lastCallID++
	a.calls++
	call.ID = a.lastCallID
	n.emit(CallService{Call: call})
	return call.ID
}

func (n *ConfigNode) handleServiceFailure(now time.Time, event ServiceFailed) {
	switch {
	case event.Call == n.access.mainCall && event.Call != 0:
		n.access.mainCall = 0
		n.backOff(now)
	case n.access.download.hasCall(event.Call):
		n.handlePartFailure(now, event.Call)
	}
}

// backOff delays the next call after a failure, exponentially and with jitter.
func (n *ConfigNode) backOff(now time.Time) {
	a := &n.access
	a.failures++
	a.backoff = min(max(2*a.backoff, minServiceBackoff), maxServiceBackoff)
	a.nextCallAt = now.Add(a.backoff/2 + time.Duration(n.random.below(int(a.backoff))))
	// Revisions may differ after the service has recovered, so the next call is a plain read.
	a.revisionKnown = false
}

func (n *ConfigNode) handleServiceAnswer(now time.Time, event ServiceAnswered) {
	a := &n.access
	if a.download.hasCall(event.Call) {
		n.handlePart(now, event)
		return
	}
	if event.Call != a.mainCall || event.Call == 0 {
		return
	}
	a.mainCall = 0
	a.timedOut = false
	a.backoff = 0
	a.nextCallAt = now
	if !event.Unchanged {
		n.handleMainAnswer(now, event)
	}
	if a.reading {
		n.tickService(now)
	}
}

func (n *ConfigNode) handleMainAnswer(now time.Time, event ServiceAnswered) {
	a := &n.access
	a.revision, a.revisionKnown = event.Revision, true
	before := n.stamp()
	if n.settings.Layout == ManifestOfParts {
		n.handlePublishedManifest(now, event.Value)
	} else {
		n.handlePublishedValue(now, event.Value)
	}
	if n.stamp() == before {
		a.nextCallAt = now.Add(pauseWithoutChange)
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
	if n.access.lastOlder == stamp {
		return
	}
	n.access.lastOlder = stamp
	n.emit(ReportOlder{Offered: stamp, InForce: n.stamp()})
}

func (n *ConfigNode) refuseOnce(stamp Stamp, reason string) {
	if !n.isRefused(stamp) {
		n.refuse(stamp, reason)
	}
}
