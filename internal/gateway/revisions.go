package gateway

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// sharedRevisionTimeout is how long an entry waits for the revision that another one reads: the time for which the reader
// collects queries, and twice the time of a call to a slow store.
const sharedRevisionTimeout = 800 * time.Millisecond

var (
	errNoReader     = errors.New("no other entry reads the revision")
	errSilentReader = errors.New("the entry that reads the revision does not answer")
)

// revisionQuery identifies another entry's query.
type revisionQuery struct {
	from     netip.AddrPort
	sequence uint64
}

// pendingRevision is this entry's own query to a reader.
type pendingRevision struct {
	sequence uint64
	reader   netip.AddrPort
	answer   chan source.Position
}

// sharedRevision asks another entry for the store's newest revision. The answer comes from a read that began after the
// query arrived there. It implements source.Follower.SharedRevision.
func (g *Gateway) sharedRevision(ctx context.Context) (source.Position, error) {
	asked := make(chan *pendingRevision, 1)
	g.enqueue(func(now time.Time) { asked <- g.askReader(now) })
	var pending *pendingRevision
	select {
	case pending = <-asked:
	case <-ctx.Done():
		return source.Position{}, ctx.Err()
	}
	if pending == nil {
		return source.Position{}, errNoReader
	}
	select {
	case position := <-pending.answer:
		g.metrics.count("revision_shared")
		return position, nil
	case <-time.After(sharedRevisionTimeout):
		g.log.WithField("reader", pending.reader).Info("revision-reader-silent")
		g.enqueue(func(now time.Time) { g.revisionReaders.RecordSilent(now, pending.reader) })
		return source.Position{}, errSilentReader
	case <-ctx.Done():
		return source.Position{}, ctx.Err()
	}
}

// askReader sends a query to the reader; it returns nil if this entry should read the store itself.
func (g *Gateway) askReader(now time.Time) *pendingRevision {
	reader, ok := g.revisionReaders.Choose(now, g.peerDirectory.others())
	if !ok {
		return nil
	}
	g.revisionSequence++
	g.pendingRevision = &pendingRevision{sequence: g.revisionSequence, reader: reader, answer: make(chan source.Position, 1)}
	g.socket.Send(reader, datagram.Message{RevisionQuery: &datagram.RevisionQuery{Sequence: g.revisionSequence}})
	return g.pendingRevision
}

// handleRevisionAnswer completes this entry's query. It ignores answers to earlier queries.
func (g *Gateway) handleRevisionAnswer(from netip.AddrPort, answer *datagram.RevisionAnswer) {
	pending := g.pendingRevision
	if pending == nil || pending.sequence != answer.Sequence || pending.reader != from {
		return
	}
	g.pendingRevision = nil
	pending.answer <- source.Position{Era: answer.Era, Revision: answer.Revision}
}

// readRevisionIfDue reads the revision for other entries unless a read of this entry's own has answered them.
func (g *Gateway) readRevisionIfDue(ctx context.Context, now time.Time) {
	if !g.revisionBatch.Due(now) {
		return
	}
	read := g.revisionBatch.Begin()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sharedRevisionTimeout)
		defer cancel()
		position, err := g.config.Store.Revision(ctx)
		g.enqueue(func(time.Time) { g.answerRevisionQueries(read, position, err) })
	}()
}

// answerRevisionQueries answers the queries that a read is for. After an error their senders read the store themselves.
func (g *Gateway) answerRevisionQueries(read uint64, position source.Position, err error) {
	queries := g.revisionBatch.End(read)
	if err != nil && len(queries) > 0 {
		g.log.WithError(err).WithField("queries", len(queries)).Info("shared-revision-unread")
		return
	}
	for _, query := range queries {
		answer := &datagram.RevisionAnswer{Sequence: query.sequence, Revision: position.Revision, Era: position.Era}
		g.socket.Send(query.from, datagram.Message{RevisionAnswer: answer})
	}
}

// sharingStore is the store as the gateway's follower reads it: a read of the revision also answers the queries of other
// entries that arrived before it.
type sharingStore struct {
	source.Store
	gateway *Gateway
}

// Revision implements source.Store.
func (s sharingStore) Revision(ctx context.Context) (source.Position, error) {
	g := s.gateway
	begun := make(chan uint64, 1)
	g.enqueue(func(time.Time) { begun <- g.revisionBatch.Begin() })
	var read uint64
	select {
	case read = <-begun:
	case <-ctx.Done():
		return source.Position{}, ctx.Err()
	}
	position, err := s.Store.Revision(ctx)
	g.enqueue(func(time.Time) { g.answerRevisionQueries(read, position, err) })
	return position, err
}
