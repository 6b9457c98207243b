package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// authority decides whether a coordinator may grant leases. It becomes active when a
// large part of the roster has confirmed the same roster for some time, and stays
// active while a majority does. Two rosters that differ in less than
// takeover + majority - size entries cannot have active coordinators at once.
type authority struct {
	settings Settings
	active   bool
	// since is the time of the takeover.
	since     time.Time
	evaluated time.Time
	members   map[ident.VM]*member
	polls     [keptPolls]time.Time
	polled    uint64
}

// member is what a coordinator knows of an entry that confirms its roster.
type member struct {
	incarnation ident.Incarnation
	sequence    uint64
	// since is when the unbroken series of confirmations began to arrive.
	since time.Time
	// basis is the sending time of the newest poll that the entry echoed.
	basis time.Time
}

// keptPolls is the number of polls whose sending times are remembered.
const keptPolls = 256

// pollSpacing is the time during which one poll number is used.
const pollSpacing = 50 * time.Millisecond

func newAuthority(settings Settings) authority {
	return authority{settings: settings, members: make(map[ident.VM]*member)}
}

// restart forgets all confirmations, because they concern an earlier roster.
func (a *authority) restart() {
	a.active = false
	clear(a.members)
}

// poll returns the number of a poll that is sent now.
func (a *authority) poll(now time.Time) uint64 {
	if a.polled == 0 || now.Sub(a.polls[a.polled%keptPolls]) >= pollSpacing {
		a.polled++
		a.polls[a.polled%keptPolls] = now
	}
	return a.polled
}

func (a *authority) pollSentAt(number uint64) (time.Time, bool) {
	if number == 0 || number > a.polled || number+keptPolls <= a.polled {
		return time.Time{}, false
	}
	return a.polls[number%keptPolls], true
}

// confirm takes in an entry's confirmation of the roster. It returns false for a late
// or doubled message.
func (a *authority) confirm(now time.Time, request LimitRequest) bool {
	known := a.members[request.From.VM]
	if known == nil || known.incarnation != request.From.Incarnation {
		known = &member{incarnation: request.From.Incarnation, since: now}
		a.members[request.From.VM] = known
	}
	if request.Sequence <= known.sequence {
		return false
	}
	known.sequence = request.Sequence
	if request.PollOf != a.settings.Self.Incarnation {
		return true
	}
	basis, ok := a.pollSentAt(request.Poll)
	if !ok || basis.Before(known.basis) {
		return true
	}
	if known.basis.IsZero() || basis.Sub(known.basis) > a.settings.Leases.Freshness {
		known.since = now
	}
	known.basis = basis
	return true
}

// basis returns the sending time of the newest poll that the entry's process echoed.
func (a *authority) basis(vm ident.VM) time.Time {
	if known := a.members[vm]; known != nil {
		return known.basis
	}
	return time.Time{}
}

// forget drops an entry that uses another roster.
func (a *authority) forget(request LimitRequest) {
	known := a.members[request.From.VM]
	if known != nil && (known.incarnation != request.From.Incarnation || request.Sequence > known.sequence) {
		delete(a.members, request.From.VM)
	}
}

// evaluate decides anew whether the coordinator is active.
func (a *authority) evaluate(now time.Time, r roster) {
	if a.active && now.Sub(a.evaluated) > a.settings.Leases.Freshness {
		a.active = false
	}
	a.evaluated = now
	count := a.confirming(now, r)
	switch {
	case len(r.vms) == 0:
		a.active = false
	case a.active && count < r.majority():
		a.active = false
	case !a.active && count >= r.takeoverQuorum(a.settings.Leases.TakeoverQuorum):
		a.active = true
		a.since = now
	}
}

// confirming counts the entries that confirmed without a break for long enough.
func (a *authority) confirming(now time.Time, r roster) int {
	freshness := a.settings.Leases.Freshness
	count := 0
	for vm, known := range a.members {
		fresh := !known.basis.IsZero() && now.Sub(known.basis) <= freshness
		long := now.Sub(known.since) > a.settings.lengthen(freshness)
		if fresh && long && r.contains(vm) {
			count++
		}
	}
	return count
}
