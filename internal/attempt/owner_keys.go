package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// keyRecord is the state of one run key at its owner.
type keyRecord struct {
	key     ident.RunKey
	service ident.Service
	body    Digest
	state   chart.State
	outcome outcome.Outcome
	answer  Answer
	content []byte
	// runner is the attempt that runs or ran the key.
	runner AttemptID
	// waiters are the attempts that get a reply when the state of the key changes.
	waiters []AttemptID
	// sources are the other incarnations of agents that may have run the key, with the time of the
	// last dispatch to each.
	sources map[ident.Instance]time.Time
	expires time.Time
	refusal outcome.Outcome
	ticket  bool
	// doubtFromLogs is true if an entry's log put the key in doubt; doubtFromHandOver is true if a
	// hand-over did.
	doubtFromLogs     bool
	doubtFromHandOver bool
}

func (o *Owner) receiveKeyed(now time.Time, attempt *attemptRecord) {
	dispatch := attempt.dispatch
	service := o.services[dispatch.Service]
	if service == nil || (dispatch.Ticket == nil && !o.mayOwnKey(service, dispatch.RunKey)) {
		o.endAttempt(dispatch.ID, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseNotOwner))
		return
	}
	if ticketKeyMismatch(dispatch) {
		o.endAttempt(dispatch.ID, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseBadRequest))
		return
	}
	if dispatch.Ticket != nil && !o.tickets.valid(now, o.config.Self, *dispatch.Ticket) {
		// An earlier incarnation of the agent may have run the ticket.
		o.endAttempt(dispatch.ID, attempt, ReplyNeverStarted, outcome.InDoubt(outcome.CauseKeyInDoubt, dispatch.RunKey))
		return
	}
	o.observeEntry(now, dispatch.ID.Entry)
	if record := service.keys[dispatch.RunKey]; record != nil {
		o.joinKey(record, attempt)
		return
	}
	o.admitKey(now, service, attempt)
}

// mayOwnKey reports whether this agent owns the key under its fleet version. DoubtIgnore
// skips the check.
func (o *Owner) mayOwnKey(service *ownedService, key ident.RunKey) bool {
	return o.config.Doubt == DoubtIgnore || service.ownerOf(key) == o.config.Self.VM
}

// joinKey gives an attempt the result of a key that is already in the table, now or when the
// key's run ends.
func (o *Owner) joinKey(record *keyRecord, attempt *attemptRecord) {
	id := attempt.dispatch.ID
	if record.body != attempt.dispatch.Body && record.state != keyInDoubt {
		o.endAttempt(id, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseKeyConflict))
		return
	}
	switch record.state {
	case keyServed:
		o.endWithAnswer(record, id, attempt)
	case keyInDoubt:
		o.endAttempt(id, attempt, ReplyNeverStarted, o.inDoubtOutcome(record.key, 0))
	case keyRunning:
		record.waiters = append(record.waiters, id)
		attempt.state = ReplyStarted
		attempt.source = record.runner
		o.reply(id, attempt)
	case keyHeld:
		record.waiters = append(record.waiters, id)
		attempt.state = ReplyQueued
		o.reply(id, attempt)
	}
}

func (o *Owner) endWithAnswer(record *keyRecord, id AttemptID, attempt *attemptRecord) {
	attempt.answer = record.answer
	attempt.source = record.runner
	attempt.content = record.content
	o.endAttempt(id, attempt, ReplyFinished, record.outcome)
}

func (o *Owner) inDoubtOutcome(key ident.RunKey, retryAfter time.Duration) outcome.Outcome {
	result := outcome.InDoubt(outcome.CauseKeyInDoubt, key)
	result.RetryAfter = retryAfter
	return result
}

// admitKey runs, holds or refuses a key that is not in the table.
func (o *Owner) admitKey(now time.Time, service *ownedService, attempt *attemptRecord) {
	dispatch := attempt.dispatch
	result := eligible
	var retryAfter time.Duration
	if dispatch.Ticket == nil {
		result, retryAfter = o.evaluateKey(now, service, dispatch)
	}
	if result == eligibilityInDoubt {
		o.endAttempt(dispatch.ID, attempt, ReplyNeverStarted, o.inDoubtOutcome(dispatch.RunKey, retryAfter))
		return
	}
	if o.keyCount >= o.config.MaxKeys {
		refused := outcome.Refused(outcome.CauseKeysFull)
		if result == eligibilityPending {
			refused = o.inDoubtOutcome(dispatch.RunKey, 0)
		}
		o.act(KeysRefused{Service: dispatch.Service, Keys: o.keyCount})
		o.endAttempt(dispatch.ID, attempt, ReplyNeverStarted, refused)
		return
	}
	record := o.newRecord(service, dispatch.RunKey, dispatch.Body)
	record.waiters = []AttemptID{dispatch.ID}
	record.ticket = dispatch.Ticket != nil
	if dispatch.Alone && o.running > 0 {
		// The agent refuses other dispatches until the suspect has run alone.
		o.aloneAttempt = &dispatch.ID
		result = eligibilityPending
	}
	if result == eligibilityPending {
		service.held[dispatch.RunKey] = record
		o.fireKey(now, record, "hold")
		return
	}
	o.fireKey(now, record, "run")
}

func (o *Owner) newRecord(service *ownedService, key ident.RunKey, body Digest) *keyRecord {
	record := &keyRecord{key: key, service: service.published.Name, body: body, state: keyChart.Initial()}
	service.keys[key] = record
	o.keyCount++
	return record
}

// fireKey applies an event to the state chart of the record.
func (o *Owner) fireKey(now time.Time, record *keyRecord, event chart.Event) {
	step, err := keyChart.Next(record.state, event, nil)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	if step.Ignored {
		return
	}
	service := o.services[record.service]
	record.state = step.To
	if step.From == keyHeld {
		delete(service.held, record.key)
	}
	for _, action := range step.Actions {
		o.performKey(record, action)
	}
	if step.To == keyServed || step.To == keyInDoubt {
		record.expires = later(record.expires, now.Add(retentionOf(service.published)))
		service.expiry.add(record.expires, record.key)
	}
	if step.To == keyForgotten {
		delete(service.keys, record.key)
		o.keyCount--
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (o *Owner) performKey(record *keyRecord, action chart.Action) {
	switch action {
	case "run":
		o.runKey(record)
	case "reply-queued":
		o.updateWaiters(record, func(id AttemptID, attempt *attemptRecord) {
			attempt.state = ReplyQueued
			o.reply(id, attempt)
		})
	case "refuse", "reply-not-started":
		o.updateWaiters(record, func(id AttemptID, attempt *attemptRecord) {
			attempt.source = AttemptID{}
			o.endAttempt(id, attempt, ReplyNeverStarted, record.refusal)
		})
		record.waiters = nil
	case "reply-answer":
		o.updateWaiters(record, func(id AttemptID, attempt *attemptRecord) { o.endWithAnswer(record, id, attempt) })
		record.waiters = nil
	case "reply-in-doubt":
		o.updateWaiters(record, func(id AttemptID, attempt *attemptRecord) {
			o.endAttempt(id, attempt, ReplyInDoubt, record.outcome)
		})
		record.waiters = nil
	}
}

func (o *Owner) updateWaiters(record *keyRecord, update func(AttemptID, *attemptRecord)) {
	for _, id := range record.waiters {
		if attempt := o.attempts[id]; attempt != nil {
			update(id, attempt)
		}
	}
}

// clearAlone lets other requests run again if the attempt is the one that runs alone.
func (o *Owner) clearAlone(id AttemptID) {
	if o.aloneAttempt != nil && *o.aloneAttempt == id {
		o.aloneAttempt = nil
	}
}

// runKey starts the first waiting attempt; the others get its answer.
func (o *Owner) runKey(record *keyRecord) {
	record.runner = record.waiters[0]
	if o.attempts[record.runner].dispatch.Alone {
		runner := record.runner
		o.aloneAttempt = &runner
	}
	o.start(o.attempts[record.runner])
	for _, id := range record.waiters[1:] {
		attempt := o.attempts[id]
		attempt.state = ReplyStarted
		attempt.source = record.runner
		o.reply(id, attempt)
	}
}

func (o *Owner) endKeyedRun(now time.Time, attempt *attemptRecord, end RunEnded) {
	service := o.services[attempt.dispatch.Service]
	record := service.keys[attempt.dispatch.RunKey]
	if record == nil || record.runner != end.ID {
		panic("invariant: a run of key " + attempt.dispatch.RunKey.String() + " ended, but the table has no such run")
	}
	record.outcome = end.Outcome
	record.refusal = end.Outcome
	switch end.Outcome.Kind {
	case outcome.Served:
		record.answer = end.Answer
		record.content = end.Content
		o.fireKey(now, record, "finish")
	case outcome.NotRun:
		o.fireKey(now, record, "not-started")
	case outcome.Open, outcome.Unknown:
		record.outcome.Kind = outcome.Unknown
		record.outcome.RunKey = record.key
		o.fireKey(now, record, "lost")
	}
	o.forwardKey(now, service, record)
}

// removeWaiter removes a queued attempt from its key, and drops a held key that has no waiter left.
func (o *Owner) removeWaiter(now time.Time, attempt *attemptRecord) {
	service := o.services[attempt.dispatch.Service]
	record := service.keys[attempt.dispatch.RunKey]
	if record == nil {
		return
	}
	kept := record.waiters[:0]
	for _, id := range record.waiters {
		if id != attempt.dispatch.ID {
			kept = append(kept, id)
		}
	}
	record.waiters = kept
	if len(kept) == 0 {
		o.fireKey(now, record, "revoke")
	}
}

// keyedRefusal turns the refusal of a keyed dispatch into an in-doubt outcome if the key may
// have run. It returns the zero Outcome for a key in the table, whose record gives the reply.
func (o *Owner) keyedRefusal(now time.Time, dispatch Dispatch, refused outcome.Outcome) outcome.Outcome {
	service := o.services[dispatch.Service]
	if service == nil || service.ownerOf(dispatch.RunKey) != o.config.Self.VM {
		return refused
	}
	if service.keys[dispatch.RunKey] != nil {
		return outcome.Outcome{}
	}
	if result, retryAfter := o.evaluateKey(now, service, dispatch); result != eligible {
		return o.inDoubtOutcome(dispatch.RunKey, retryAfter)
	}
	return refused
}

// answerKey replies with the status of a run key.
func (o *Owner) answerKey(question KeyQuestion) {
	answer := KeyAnswer{Entry: question.Entry, Request: question.Request, RunKey: question.RunKey, Status: KeyInDoubt}
	service := o.services[question.RunKey.Service()]
	if service != nil && service.keys[question.RunKey] != nil {
		record := service.keys[question.RunKey]
		answer.Status = record.status()
		answer.Outcome = record.outcome
		answer.Answer = record.answer
	} else if service != nil && service.fenced && service.covers(question.RunKey, o.config.Self.VM) {
		answer.Status = KeyAbsent
	}
	o.act(SendKeyAnswer{answer})
}

func (r *keyRecord) status() KeyStatus {
	switch r.state {
	case keyHeld:
		return KeyHeld
	case keyRunning:
		return KeyRunning
	case keyServed:
		return KeyServed
	}
	return KeyInDoubt
}

func (s *ownedService) sortedRecords() []*keyRecord {
	records := make([]*keyRecord, 0, len(s.keys))
	for _, record := range s.keys {
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].key < records[j].key })
	return records
}
