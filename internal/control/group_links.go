package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// leaderReplyTimeout is how long a leader's message may be unanswered before the next one goes
// over a new connection.
const leaderReplyTimeout = 700 * time.Millisecond

// groupLinks chooses the connections to the agents of a group. A process that was replaced
// leaves connections behind on which everything is lost without an error.
type groupLinks struct {
	// routes are the connections over which agents were heard last: what a leader asks is
	// answered over the connection of the question.
	routes map[ident.VM]Route
	// unansweredSince is since when an agent has not answered.
	unansweredSince map[ident.VM]time.Time
}

func (l *groupLinks) recordReceived(vm ident.VM, route Route) {
	l.routes[vm] = route
	delete(l.unansweredSince, vm)
}

// recordRequest notes a question and reports whether it must go over a new connection.
func (l *groupLinks) recordRequest(now time.Time, vm ident.VM) (renew bool) {
	since, open := l.unansweredSince[vm]
	if !open {
		l.unansweredSince[vm] = now
		return false
	}
	if now.Sub(since) < leaderReplyTimeout {
		return false
	}
	l.unansweredSince[vm] = now
	return true
}
