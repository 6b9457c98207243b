package membership

import (
	"time"
)

const (
	// serviceTimeout is how long the process waits for the answer to a read.
	serviceTimeout = 5 * time.Second
	// watchWait is how long a watch waits for a change. It is short, so that a change
	// comes into force in time although the watch's connection went silent.
	watchWait = 4 * time.Second
	// watchGrace is how much longer the answer to a watch may take.
	watchGrace = 500 * time.Millisecond
	// minServiceBackoff and maxServiceBackoff bound the wait after a failed call.
	minServiceBackoff = 500 * time.Millisecond
	maxServiceBackoff = 15 * time.Second
	// minWatchPause is kept between two watches that brought nothing newer, such as from
	// a replica of the service that lags.
	minWatchPause = 500 * time.Millisecond
)

// service is the state of the calls of the configuration service.
type service struct {
	calls    uint64
	failures uint64
	lastID   CallID
	// main is the call of the configuration's key; 0 if none is open.
	main     CallID
	mainEnds time.Time
	// silent is true if the last call got no answer.
	silent   bool
	revision uint64
	known    bool
	nextCall time.Time
	backoff  time.Duration
	load     partsLoad
	older    Stamp
}

// tickService keeps one call of the configuration's key open while the process reads.
func (n *ConfigNode) tickService(now time.Time) {
	r := &n.reader
	if r.main != 0 && !now.Before(r.mainEnds) {
		n.callUnanswered(now)
	}
	n.tickLoad(now)
	if r.main != 0 || now.Before(r.nextCall) || r.load.active() {
		return
	}
	if r.active || n.needsFallback(now) {
		n.callMain(now)
	}
}

// needsFallback reports whether a process that watches nothing must read the service
// because no peer has a configuration.
func (n *ConfigNode) needsFallback(now time.Time) bool {
	return n.current == nil && n.newest.IsZero() && !now.Before(n.reader.fallback)
}

func (n *ConfigNode) callMain(now time.Time) {
	r := &n.reader
	call := ServiceCall{Key: n.settings.Key, Watch: r.known && r.active, After: r.revision, NewConnection: r.silent}
	timeout := serviceTimeout
	if call.Watch {
		call.Wait = watchWait
		timeout = watchWait + watchGrace
	}
	r.main = n.call(call)
	r.mainEnds = now.Add(timeout)
}

// callUnanswered gives a call up. A first watch without answer is repeated at once over a
// new connection; the service is not to blame yet.
func (n *ConfigNode) callUnanswered(now time.Time) {
	r := &n.reader
	r.main = 0
	if r.silent {
		n.callFailed(now)
		return
	}
	r.silent = true
	r.failures++
	r.nextCall = now
}

// call makes a call of the configuration service and returns its number.
func (n *ConfigNode) call(call ServiceCall) CallID {
	r := &n.reader
	r.lastID++
	r.calls++
	call.ID = r.lastID
	n.emit(CallService{Call: call})
	return call.ID
}

func (n *ConfigNode) serviceFailed(now time.Time, event ServiceFailed) {
	switch {
	case event.Call == n.reader.main && event.Call != 0:
		n.reader.main = 0
		n.callFailed(now)
	case n.reader.load.has(event.Call):
		n.partFailed(now, event.Call)
	}
}

// callFailed waits longer after each failure, with jitter.
func (n *ConfigNode) callFailed(now time.Time) {
	r := &n.reader
	r.failures++
	r.backoff = min(max(2*r.backoff, minServiceBackoff), maxServiceBackoff)
	r.nextCall = now.Add(r.backoff/2 + time.Duration(n.random.below(int(r.backoff))))
	// A service that comes back may have other revisions.
	r.known = false
}

func (n *ConfigNode) serviceAnswered(now time.Time, event ServiceAnswered) {
	r := &n.reader
	if r.load.has(event.Call) {
		n.partAnswered(now, event)
		return
	}
	if event.Call != r.main || event.Call == 0 {
		return
	}
	r.main = 0
	r.silent = false
	r.backoff = 0
	r.nextCall = now
	if !event.Unchanged {
		n.mainAnswered(now, event)
	}
	if r.active {
		n.tickService(now)
	}
}

func (n *ConfigNode) mainAnswered(now time.Time, event ServiceAnswered) {
	r := &n.reader
	r.revision, r.known = event.Revision, true
	before := n.stamp()
	if n.settings.Layout == ManifestOfParts {
		n.manifestPublished(now, event.Value)
	} else {
		n.valuePublished(now, event.Value)
	}
	if n.stamp() == before {
		r.nextCall = now.Add(minWatchPause)
	}
}

// valuePublished handles a whole configuration from the service.
func (n *ConfigNode) valuePublished(now time.Time, value []byte) {
	if n.current != nil && DigestOf(value) == n.current.stamp.Digest {
		return
	}
	version, err := n.settings.Accept(value)
	if err != nil {
		n.refuseOnce(Stamp{Version: version, Digest: DigestOf(value)}, err.Error())
		return
	}
	n.published(now, Stamp{Version: version, Digest: DigestOf(value)}, splitValue(value))
}

// published puts a configuration of the service in force unless a newer one is.
func (n *ConfigNode) published(now time.Time, stamp Stamp, chunks []chunk) {
	if stamp.Less(n.stamp()) {
		n.reportOlder(stamp)
		return
	}
	n.adopt(now, "", stamp, chunks)
}

func (n *ConfigNode) reportOlder(stamp Stamp) {
	if n.reader.older == stamp {
		return
	}
	n.reader.older = stamp
	n.emit(ReportOlder{Offered: stamp, InForce: n.stamp()})
}

func (n *ConfigNode) refuseOnce(stamp Stamp, reason string) {
	if !n.isRefused(stamp) {
		n.refuse(stamp, reason)
	}
}
