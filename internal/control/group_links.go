package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// leaderReplyTimeout is how long a leader's message may be unanswered before the next one is
// sent over a new connection.
const leaderReplyTimeout = 700 * time.Millisecond

// groupLinks chooses the connections to the agents of a group. After a process was replaced,
// its old connections lose all messages without an error.
type groupLinks struct {
	// routes are the connections on which the last message of each agent was received. Answers
	// to a leader are sent over the connection of its message.
	routes map[ident.VM]Route
	// unansweredSince is when the oldest message was sent to each agent that it has not
	// answered by any message. A new connection to the agent sets it to the current time.
	unansweredSince map[ident.VM]time.Time
}

// recordReceived records a message from an agent.
func (l *groupLinks) recordReceived(vm ident.VM, route Route) {
	l.routes[vm] = route
	delete(l.unansweredSince, vm)
}

// recordRequest records a message to an agent and reports whether it must be sent over a new
// connection.
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
