package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// authority decides whether a coordinator may grant leases. The coordinator's messages carry echo numbers, which the
// entries return with their confirmations. From the time at which it first sent a number, the coordinator knows how
// old a confirmation is at most, even if the message was delayed.
//
// The coordinator becomes active when at least the takeover quorum of the roster has confirmed the same roster for longer
// than Freshness, and stays active while a majority confirms it. An entry confirms only one roster at a time.
//
// This keeps the coordinators of two similar rosters from being active at the same time. Let both rosters have n VMs, d of
// which are missing in the other roster, so that there are n + d VMs in total. One coordinator needs m confirmations (the
// majority) to stay active, the other needs q (the takeover quorum) to become active. If q + m > n + d, some entry
// would have to confirm both rosters at once.
type authority struct {
	settings Settings
	active   bool
	// activeSince is the time of the takeover.
	activeSince       time.Time
	evaluatedAt       time.Time
	members           map[ident.VM]*member
	echoNumbersSentAt [echoHistory]time.Time
	lastEchoNumber    uint64
}

// member is the state of an entry that confirms the coordinator's roster.
type member struct {
	incarnation ident.Incarnation
	sequence    uint64
	// confirmedSince is when the current uninterrupted series of confirmations began.
	confirmedSince time.Time
	// echoSentAt is when the newest echo number that the entry returned was first sent.
	echoSentAt time.Time
}

// echoHistory is the number of latest echo numbers whose sending times are kept.
const echoHistory = 256

// echoNumberInterval is the time during which the same echo number is sent.
const echoNumberInterval = 50 * time.Millisecond

func newAuthority(settings Settings) authority {
	return authority{settings: settings, members: make(map[ident.VM]*member)}
}

// reset removes all confirmations, because they refer to an earlier roster.
func (a *authority) reset() {
	a.active = false
	clear(a.members)
}

// echoNumber returns the echo number for a grant message that is sent now.
func (a *authority) echoNumber(now time.Time) uint64 {
	if a.lastEchoNumber == 0 || now.Sub(a.echoNumbersSentAt[a.lastEchoNumber%echoHistory]) >= echoNumberInterval {
		a.lastEchoNumber++
		a.echoNumbersSentAt[a.lastEchoNumber%echoHistory] = now
	}
	return a.lastEchoNumber
}

func (a *authority) echoNumberSentAt(number uint64) (time.Time, bool) {
	if number == 0 || number > a.lastEchoNumber || number+echoHistory <= a.lastEchoNumber {
		return time.Time{}, false
	}
	return a.echoNumbersSentAt[number%echoHistory], true
}

// confirm records an entry's confirmation of the roster. It returns false for a reordered or duplicate message.
func (a *authority) confirm(now time.Time, request LimitRequest) bool {
	m := a.members[request.From.VM]
	if m == nil || m.incarnation != request.From.Incarnation {
		m = &member{incarnation: request.From.Incarnation, confirmedSince: now}
		a.members[request.From.VM] = m
	}
	if request.Sequence <= m.sequence {
		return false
	}
	m.sequence = request.Sequence
	if request.EchoIncarnation != a.settings.Self.Incarnation {
		return true
	}
	sentAt, ok := a.echoNumberSentAt(request.EchoNumber)
	if !ok || sentAt.Before(m.echoSentAt) {
		return true
	}
	if m.echoSentAt.IsZero() || sentAt.Sub(m.echoSentAt) > a.settings.Leases.Freshness {
		m.confirmedSince = now
	}
	m.echoSentAt = sentAt
	return true
}

// lastEchoSentAt returns when the newest echo number that the VM's entry returned was first sent; the zero time if there
// is none.
func (a *authority) lastEchoSentAt(vm ident.VM) time.Time {
	if m := a.members[vm]; m != nil {
		return m.echoSentAt
	}
	return time.Time{}
}

// removeMember removes an entry that uses another roster.
func (a *authority) removeMember(request LimitRequest) {
	m := a.members[request.From.VM]
	if m != nil && (m.incarnation != request.From.Incarnation || request.Sequence > m.sequence) {
		delete(a.members, request.From.VM)
	}
}

// evaluate updates whether the coordinator is active.
func (a *authority) evaluate(now time.Time, r roster) {
	// After such a pause of this process no confirmation is recent, and another coordinator may be active.
	if a.active && now.Sub(a.evaluatedAt) > a.settings.Leases.Freshness {
		a.active = false
	}
	a.evaluatedAt = now
	count := a.countConfirming(now, r)
	switch {
	case len(r.vms) == 0:
		a.active = false
	case a.active && count < r.majority():
		a.active = false
	case !a.active && count >= r.takeoverQuorum(a.settings.Leases.TakeoverQuorum):
		a.active = true
		a.activeSince = now
	}
}

// countConfirming counts the entries that have confirmed the roster without interruption for long enough.
func (a *authority) countConfirming(now time.Time, r roster) int {
	freshness := a.settings.Leases.Freshness
	count := 0
	for vm, m := range a.members {
		fresh := !m.echoSentAt.IsZero() && now.Sub(m.echoSentAt) <= freshness
		stable := now.Sub(m.confirmedSince) > a.settings.withClockDrift(freshness)
		if fresh && stable && r.contains(vm) {
			count++
		}
	}
	return count
}
