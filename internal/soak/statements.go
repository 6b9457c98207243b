package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// A replica turns requests away for minRest to maxRest.
	minRest = time.Second
	maxRest = 4 * time.Second
	// restKnown is the time after the first answer from which a resting replica should get no requests.
	restKnown = 500 * time.Millisecond
	// restSlack is the number of requests that each entry may send to a resting replica after restKnown, as the platform's rule
	// allows.
	restSlack = 2
	// A copy of the store lacks up to maxLostChanges changes. They are written again after up to maxRewriteTime.
	maxLostChanges = 12
	maxRewriteTime = 1500 * time.Millisecond
	// oddAnswerShare is the share of answers that are sent twice, or of streams that stall with comments.
	oddAnswerShare = 0.1
	// restoreMargin is the time beyond the bound after which a copy lacks a revocation.
	restoreMargin = 300 * time.Millisecond
	// maxStatementPause is the longest pause between two statements.
	maxStatementPause = time.Second
)

// statements lets replicas say in their answers that they leave or want rest and send odd answers, restores the store from older
// copies, revokes credentials while entries restart, and counts how often. The other checks of the soak hold meanwhile: no request to a replica that left, none with a revoked credential, and
// no configuration that reverts.
type statements struct {
	soak *soak
	// The counts are those of what was played.
	leaves, rests, restores, oddAnswers, withdrawals int
}

// run plays one statement or restore after the other until the context ends.
func (s *statements) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		switch random.IntN(5) {
		case 0:
			s.leave(random)
		case 1:
			s.rest(random)
		case 2:
			s.restore(ctx, random)
		case 3:
			s.oddAnswer(ctx, random)
		case 4:
			s.withdraw(random)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxStatementPause))))
	}
}

func (s *statements) leave(random *rand.Rand) {
	replica := pickRandom(random, s.soak.deployment.Plain)
	if !s.soak.reserve(replica) {
		return
	}
	defer s.soak.release(replica)
	s.leaves++
	s.soak.log(replica.Name() + " says that it is leaving")
	replica.SayLeaving(leavingTime)
	if err := replica.Restart(); err != nil {
		s.soak.reportViolation("a replica did not restart: " + err.Error())
	}
}

// rest lets a replica turn requests away and checks that entries leave it alone.
func (s *statements) rest(random *rand.Rand) {
	replica := pickRandom(random, s.soak.replicas())
	if !s.soak.reserve(replica) {
		return
	}
	defer s.soak.release(replica)
	s.rests++
	turnedAway := replica.Rest(minRest + time.Duration(random.Int64N(int64(maxRest-minRest))))
	late := 0
	for _, at := range turnedAway {
		if at.Sub(turnedAway[0]) > restKnown {
			late++
		}
	}
	s.soak.log(fmt.Sprintf("%s wanted rest: it turned %d requests away, %d of them late", replica.Name(), len(turnedAway), late))
	if allowed := restSlack * len(s.soak.entries); late > allowed {
		s.soak.reportViolation(fmt.Sprintf("%s turned %d requests away later than %s after its first answer; allowed %d", replica.Name(), late, restKnown, allowed))
	}
}

// restore restores the store. Half of the copies lack a revocation that is longer ago than the bound, and an entry restarts while
// the store holds them.
func (s *statements) restore(ctx context.Context, random *rand.Rand) {
	changes := 1 + random.IntN(maxLostChanges)
	restarts := random.IntN(2) == 0
	if restarts {
		before := s.soak.deployment.Store.Changes()
		s.soak.deployment.RotateCredential()
		sleep(ctx, standin.RevocationBound+restoreMargin)
		changes = s.soak.deployment.Store.Changes() - before
	}
	span := s.soak.faults.begin()
	s.soak.faults.setTarget(span, storeTarget)
	defer s.soak.faults.end(span)
	s.restores++
	s.soak.log(fmt.Sprintf("the store is restored from a copy that lacks %d changes", changes))
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		if restarts {
			s.restart(random.Uint64())
		}
	}()
	s.soak.deployment.RestoreStore(changes, time.Duration(random.Int64N(int64(maxRewriteTime))))
	<-restarted
}

// restart kills an entry and starts it again, unless another fault affects it.
func (s *statements) restart(choice uint64) {
	entry := s.soak.entries[choice%uint64(len(s.soak.entries))]
	if !entry.faultLock.TryLock() {
		return
	}
	defer entry.faultLock.Unlock()
	span := s.soak.faults.begin()
	s.soak.faults.setTarget(span, entry.settings.Name)
	defer s.soak.faults.end(span)
	if err := entry.killAndRestart(0); err != nil {
		s.soak.reportViolation("an entry did not restart: " + err.Error())
	}
}

// oddAnswer lets a replica send answers twice, or stall streams with a comment now and then. No caller may get an answer of another
// request, and each stream must be whole or end as not whole.
func (s *statements) oddAnswer(ctx context.Context, random *rand.Rand) {
	replica := pickRandom(random, s.soak.replicas())
	span := s.soak.faults.begin()
	s.soak.faults.setTarget(span, replica.Name())
	defer s.soak.faults.end(span)
	s.oddAnswers++
	s.soak.log(replica.Name() + " sends answers twice and stalls streams with comments")
	replica.SetSecondAnswerShare(oddAnswerShare)
	replica.SetTrickleShare(oddAnswerShare)
	sleep(ctx, faultDuration(random))
	replica.SetSecondAnswerShare(0)
	replica.SetTrickleShare(0)
}

// withdraw revokes a credential while an entry restarts.
func (s *statements) withdraw(random *rand.Rand) {
	entry := pickRandom(random, s.soak.entries)
	if !entry.faultLock.TryLock() {
		return
	}
	defer entry.faultLock.Unlock()
	span := s.soak.faults.begin()
	s.soak.faults.setTarget(span, entry.settings.Name)
	defer s.soak.faults.end(span)
	s.withdrawals++
	s.soak.log("a credential is revoked while " + entry.settings.Name + " restarts")
	revoked := make(chan struct{})
	time.AfterFunc(time.Duration(random.Int64N(int64(2*maxRestartPause))), func() {
		s.soak.deployment.RotateCredential()
		close(revoked)
	})
	if err := entry.killAndRestart(time.Duration(random.Int64N(int64(maxRestartPause)))); err != nil {
		s.soak.reportViolation("an entry did not restart: " + err.Error())
	}
	<-revoked
}

// check logs the counts.
func (s *statements) check() {
	s.soak.log(fmt.Sprintf("replicas said %d times that they leave and %d times that they want rest; the store was restored %d times, answers were odd %d times, and "+
		"a credential was revoked %d times while an entry restarted", s.leaves, s.rests, s.restores, s.oddAnswers, s.withdrawals))
}
