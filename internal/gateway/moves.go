package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
)

// streamTable has the watchdogs of running streams by the ID of their backend server. It is safe for concurrent use.
type streamTable struct {
	mu       sync.Mutex
	byServer map[string]map[*stallWatchdog]struct{}
}

func (t *streamTable) add(w *stallWatchdog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byServer == nil {
		t.byServer = map[string]map[*stallWatchdog]struct{}{}
	}
	if t.byServer[w.server] == nil {
		t.byServer[w.server] = map[*stallWatchdog]struct{}{}
	}
	t.byServer[w.server][w] = struct{}{}
}

func (t *streamTable) remove(w *stallWatchdog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byServer[w.server], w)
	if len(t.byServer[w.server]) == 0 {
		delete(t.byServer, w.server)
	}
}

// at returns the streams at a server.
func (t *streamTable) at(server string) []*stallWatchdog {
	t.mu.Lock()
	defer t.mu.Unlock()
	var streams []*stallWatchdog
	for w := range t.byServer[server] {
		streams = append(streams, w)
	}
	return streams
}

// moveStreams lets other ranks continue the streams of slow ones.
func (g *Gateway) moveStreams(slow []control.SlowRank) {
	for _, rank := range slow {
		streams := g.runningStreams.at(rank.Backend)
		if len(streams) == 0 {
			continue
		}
		g.log.WithFields(logrus.Fields{
			"backend": rank.Backend, "group": rank.Group, "slowness": rank.Slowness, "streams": len(streams), "load": rank.Load,
			"pass_ms": rank.Pass.Milliseconds(), "pace_age_ms": rank.ReportAge.Milliseconds(),
		}).Info("slow-rank-drained")
		for _, stream := range streams {
			go stream.move()
		}
	}
}

// move lets another rank continue the stream if one has room.
func (w *stallWatchdog) move() {
	request := w.request
	request.Arrived, request.OtherGroupOnly, request.Moved = time.Now(), false, true
	replaced, asked := w.replaceStream(request, true)
	switch {
	case replaced:
		w.call.gateway.metrics.countMove("moved")
	case asked:
		w.call.gateway.metrics.countMove("no-room")
	}
}

// countMove counts a stream that is to leave a slow rank.
func (m *metrics) countMove(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("streams_moved").Inc(1)
}
