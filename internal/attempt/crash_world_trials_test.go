package attempt_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// Times and limits of trial runs, as in package gateway.
const (
	crashTrialSettleTime = 300 * time.Millisecond
	crashTrialInterval   = 25 * time.Millisecond
	crashTrialWait       = 200 * time.Millisecond
	crashTrialRetry      = 750 * time.Millisecond
	crashTrialOwners     = 3
)

// crashTrial is a permit of an owner for a run of a suspect.
type crashTrial struct {
	owner *crashEntry
	run   attempt.TrialRun
}

// requestTrial asks the owner of the service for a permit for a suspect. Like the gateway, a request asks again for a short
// time, and an entry that reaches no owner permits its own runs. permitted is true if the request may run; trial is nil if it
// needs no permit.
func (w *crashWorld) requestTrial(caller *crashCaller, entry *crashEntry, traits []attempt.Fingerprint) (trial *crashTrial, permitted bool) {
	_, lasts, onTrial := entry.register.OnTrial(traits)
	if !onTrial {
		caller.trialAskedAt = time.Time{}
		return nil, true
	}
	w.trials++
	trial = &crashTrial{owner: entry, run: attempt.TrialRun{Entry: w.name(entry), Number: w.trials}}
	for _, owner := range attempt.TrialOwners("service", w.entries, w.name, crashTrialOwners) {
		if owner == entry || !w.now.Before(entry.cutUntil) && !w.now.Before(owner.cutUntil) {
			trial.owner = owner
			break
		}
	}
	if trial.owner.trials.Request(w.now, "service", trial.run, lasts) {
		caller.trialAskedAt = time.Time{}
		return trial, true
	}
	if caller.trialAskedAt.IsZero() {
		caller.trialAskedAt = w.now
	}
	if w.now.Sub(caller.trialAskedAt) < crashTrialWait {
		caller.entry, caller.nextAt = entry, w.now.Add(crashTrialInterval)
		return nil, false
	}
	caller.trialAskedAt = time.Time{}
	caller.nextAt = w.now.Add(crashTrialRetry)
	return nil, false
}

// releaseTrial releases a permit, unless the message is lost.
func (w *crashWorld) releaseTrial(trial *crashTrial, broken bool) {
	if trial != nil && w.draw("loss", 0, 99) >= w.lossPercent {
		trial.owner.trials.Release(w.now, "service", trial.run, broken)
	}
}

// name returns the name of an entry.
func (w *crashWorld) name(entry *crashEntry) string {
	return fmt.Sprint("entry-", slices.Index(w.entries, entry))
}
