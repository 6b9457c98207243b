package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// unansweredTime is how long a leader's message may be unanswered before the next one goes
// over a new connection.
const unansweredTime = 700 * time.Millisecond

// groupLinks chooses the connections to the agents of a group. A process that was replaced
// leaves connections behind on which everything is lost without an error.
type groupLinks struct {
	// routes are the connections over which agents were heard last: what a leader asks is
	// answered over the connection of the question.
	routes map[ident.VM]Route
	// asked is since when an agent has not answered.
	asked map[ident.VM]time.Time
}

func (l *groupLinks) hear(vm ident.VM, route Route) {
	l.routes[vm] = route
	delete(l.asked, vm)
}

// ask notes a question and reports whether it must go over a new connection.
func (l *groupLinks) ask(now time.Time, vm ident.VM) (renew bool) {
	since, open := l.asked[vm]
	if !open {
		l.asked[vm] = now
		return false
	}
	if now.Sub(since) < unansweredTime {
		return false
	}
	l.asked[vm] = now
	return true
}
