package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// keyRecord is one run key at its owner.
type keyRecord struct {
	key     ident.RunKey
	service ident.Service
	body    Digest
	state   chart.State
	outcome outcome.Outcome
	answer  Answer
	content []byte
	// runner is the attempt that runs or ran the key.
	runner Attempt
	// waiters are all attempts that are told what becomes of the key.
	waiters []Attempt
	// sources are the other runs of agents that may have run the key, with the last dispatch.
	sources map[ident.Instance]time.Time
	expires time.Time
	refusal outcome.Outcome
	ticket  bool
	// fromLogs is true if entries' logs put the key in doubt; transferred, if a hand-over did.
	fromLogs    bool
	transferred bool
}

func (o *Owner) receiveKeyed(now time.Time, held *heldAttempt) {
	dispatch := held.dispatch
	service := o.services[dispatch.Service]
	if service == nil || (dispatch.Ticket == nil && !o.checksOwner(service, dispatch.RunKey)) {
		o.settle(dispatch.ID, held, ReplyNeverStarted, outcome.Refused(outcome.CauseNotOwner))
		return
	}
	if wrongTicketKey(dispatch) {
		o.settle(dispatch.ID, held, ReplyNeverStarted, outcome.Refused(outcome.CauseBadRequest))
		return
	}
	if dispatch.Ticket != nil && !o.tickets.valid(now, o.config.Self, *dispatch.Ticket) {
		// An earlier run of the agent may have run the ticket.
		o.settle(dispatch.ID, held, ReplyNeverStarted, outcome.InDoubt(outcome.CauseKeyInDoubt, dispatch.RunKey))
		return
	}
	o.seeEntry(now, dispatch.ID.Entry)
	if record := service.keys[dispatch.RunKey]; record != nil {
		o.join(record, held)
		return
	}
	o.admitKey(now, service, held)
}

// checksOwner reports whether the key is the agent's under its own version.
func (o *Owner) checksOwner(service *ownedService, key ident.RunKey) bool {
	return o.config.Doubt == DoubtIgnore || service.ownerOf(key) == o.config.Self.VM
}

// join lets an attempt share what became or becomes of a key.
func (o *Owner) join(record *keyRecord, held *heldAttempt) {
	id := held.dispatch.ID
	if record.body != held.dispatch.Body && record.state != keyInDoubt {
		o.settle(id, held, ReplyNeverStarted, outcome.Refused(outcome.CauseKeyConflict))
		return
	}
	switch record.state {
	case keyServed:
		o.giveAnswer(record, id, held)
	case keyInDoubt:
		o.settle(id, held, ReplyNeverStarted, o.doubt(record.key, 0))
	case keyRunning:
		record.waiters = append(record.waiters, id)
		held.state = ReplyStarted
		held.source = record.runner
		o.reply(id, held)
	case keyHeld:
		record.waiters = append(record.waiters, id)
		held.state = ReplyQueued
		o.reply(id, held)
	}
}

func (o *Owner) giveAnswer(record *keyRecord, id Attempt, held *heldAttempt) {
	held.answer = record.answer
	held.source = record.runner
	held.content = record.content
	o.settle(id, held, ReplyFinished, record.outcome)
}

func (o *Owner) doubt(key ident.RunKey, retryAfter time.Duration) outcome.Outcome {
	result := outcome.InDoubt(outcome.CauseKeyInDoubt, key)
	result.RetryAfter = retryAfter
	return result
}

// admitKey runs, holds or refuses a key that is not in the table.
func (o *Owner) admitKey(now time.Time, service *ownedService, held *heldAttempt) {
	dispatch := held.dispatch
	verdict := verdictClear
	var retryAfter time.Duration
	if dispatch.Ticket == nil {
		verdict, retryAfter = o.judge(now, service, dispatch)
	}
	if verdict == verdictDoubt {
		o.settle(dispatch.ID, held, ReplyNeverStarted, o.doubt(dispatch.RunKey, retryAfter))
		return
	}
	if o.keys >= o.config.MaxKeys {
		refused := outcome.Refused(outcome.CauseKeysFull)
		if verdict == verdictPending {
			refused = o.doubt(dispatch.RunKey, 0)
		}
		o.act(KeysRefused{Service: dispatch.Service, Keys: o.keys})
		o.settle(dispatch.ID, held, ReplyNeverStarted, refused)
		return
	}
	record := o.newRecord(service, dispatch.RunKey, dispatch.Body)
	record.waiters = []Attempt{dispatch.ID}
	record.ticket = dispatch.Ticket != nil
	if dispatch.Alone && o.running > 0 {
		// The agent takes nothing else until the suspect has run alone.
		o.alone = &dispatch.ID
		verdict = verdictPending
	}
	if verdict == verdictPending {
		service.held[dispatch.RunKey] = record
		o.keyEvent(now, record, "hold")
		return
	}
	o.keyEvent(now, record, "run")
}

func (o *Owner) newRecord(service *ownedService, key ident.RunKey, body Digest) *keyRecord {
	record := &keyRecord{key: key, service: service.published.Name, body: body, state: keyChart.Initial()}
	service.keys[key] = record
	o.keys++
	return record
}

// keyEvent drives the record's state chart.
func (o *Owner) keyEvent(now time.Time, record *keyRecord, event chart.Event) {
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
		o.keyAction(record, action)
	}
	if step.To == keyServed || step.To == keyInDoubt {
		record.expires = later(record.expires, now.Add(retentionOf(service.published)))
		service.expiry.add(record.expires, record.key)
	}
	if step.To == keyForgotten {
		delete(service.keys, record.key)
		o.keys--
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (o *Owner) keyAction(record *keyRecord, action chart.Action) {
	switch action {
	case "run":
		o.runKey(record)
	case "reply-queued":
		o.tellWaiters(record, func(id Attempt, held *heldAttempt) {
			held.state = ReplyQueued
			o.reply(id, held)
		})
	case "refuse", "reply-not-started":
		o.tellWaiters(record, func(id Attempt, held *heldAttempt) {
			held.source = Attempt{}
			o.settle(id, held, ReplyNeverStarted, record.refusal)
		})
		record.waiters = nil
	case "reply-answer":
		o.tellWaiters(record, func(id Attempt, held *heldAttempt) { o.giveAnswer(record, id, held) })
		record.waiters = nil
	case "reply-in-doubt":
		o.tellWaiters(record, func(id Attempt, held *heldAttempt) {
			o.settle(id, held, ReplyInDoubt, record.outcome)
		})
		record.waiters = nil
	}
}

func (o *Owner) tellWaiters(record *keyRecord, tell func(Attempt, *heldAttempt)) {
	for _, id := range record.waiters {
		if held := o.attempts[id]; held != nil {
			tell(id, held)
		}
	}
}

// endAlone lets other requests run again if the attempt was the one that runs alone.
func (o *Owner) endAlone(id Attempt) {
	if o.alone != nil && *o.alone == id {
		o.alone = nil
	}
}

// runKey starts the first waiting attempt; the others share its answer.
func (o *Owner) runKey(record *keyRecord) {
	record.runner = record.waiters[0]
	if o.attempts[record.runner].dispatch.Alone {
		runner := record.runner
		o.alone = &runner
	}
	o.start(o.attempts[record.runner])
	for _, id := range record.waiters[1:] {
		held := o.attempts[id]
		held.state = ReplyStarted
		held.source = record.runner
		o.reply(id, held)
	}
}

func (o *Owner) endKeyed(now time.Time, held *heldAttempt, end RunEnded) {
	service := o.services[held.dispatch.Service]
	record := service.keys[held.dispatch.RunKey]
	if record == nil || record.runner != end.ID {
		panic("invariant: a run of key " + held.dispatch.RunKey.String() + " ended that the table does not know")
	}
	record.outcome = end.Outcome
	record.refusal = end.Outcome
	switch end.Outcome.Kind {
	case outcome.Served:
		record.answer = end.Answer
		record.content = end.Content
		o.keyEvent(now, record, "finish")
	case outcome.NotRun:
		o.keyEvent(now, record, "not-started")
	case outcome.Open, outcome.Unknown:
		record.outcome.Kind = outcome.Unknown
		record.outcome.RunKey = record.key
		o.keyEvent(now, record, "lost")
	}
	o.passOn(now, service, record)
}

// detach takes a queued attempt off its key, and forgets a held key that nobody waits for.
func (o *Owner) detach(now time.Time, held *heldAttempt) {
	service := o.services[held.dispatch.Service]
	record := service.keys[held.dispatch.RunKey]
	if record == nil {
		return
	}
	kept := record.waiters[:0]
	for _, id := range record.waiters {
		if id != held.dispatch.ID {
			kept = append(kept, id)
		}
	}
	record.waiters = kept
	if len(kept) == 0 {
		o.keyEvent(now, record, "revoke")
	}
}

// keyedRefusal turns the refusal of a keyed dispatch into doubt where the key may have run.
// It returns an open outcome for a key in the table, which is answered from there.
func (o *Owner) keyedRefusal(now time.Time, dispatch Dispatch, refused outcome.Outcome) outcome.Outcome {
	service := o.services[dispatch.Service]
	if service == nil || service.ownerOf(dispatch.RunKey) != o.config.Self.VM {
		return refused
	}
	if service.keys[dispatch.RunKey] != nil {
		return outcome.Outcome{}
	}
	if verdict, retryAfter := o.judge(now, service, dispatch); verdict != verdictClear {
		return o.doubt(dispatch.RunKey, retryAfter)
	}
	return refused
}

// answerKey says what became of a run key.
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
