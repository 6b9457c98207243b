package gateway

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// maxStatements is the number of statements in one message, which then fits into a packet of 1,400 bytes.
const maxStatements = 16

// leavingMemory is how long the statement of a leaving server that is not listed is kept: much longer than a server takes to
// end, and than the store is away.
const leavingMemory = 10 * time.Minute

// statementTable has the newest statement of each backend server. It is safe for concurrent use.
type statementTable struct {
	mu         sync.Mutex
	statements map[attempt.ServerInstance]timedStatement
}

// timedStatement is a statement and when an entry received it.
type timedStatement struct {
	statement membership.Statement
	at        time.Time
}

func newStatementTable() *statementTable {
	return &statementTable{statements: map[attempt.ServerInstance]timedStatement{}}
}

// record records a statement and reports whether what is known of the server has changed. Of an older statement than the one
// known, only that the server is leaving counts.
func (t *statementTable) record(server attempt.ServerInstance, statement membership.Statement, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.statements[server]
	leaving := statement.Leaving || last.statement.Leaving
	if known && !at.After(last.at) {
		statement, at = last.statement, last.at
	}
	statement.Leaving = leaving
	if !known && statement == (membership.Statement{}) {
		return false
	}
	t.statements[server] = timedStatement{statement: statement, at: at}
	return last.statement != statement
}

// retain removes the statements of servers that are not listed. Those of leaving servers are kept for leavingMemory, since
// the list may contain them again after an outage or from an older copy.
func (t *statementTable) retain(now time.Time, listed []membership.ListedBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.statements) == 0 {
		return
	}
	kept := map[attempt.ServerInstance]timedStatement{}
	for server, last := range t.statements {
		if last.statement.Leaving && now.Sub(last.at) < leavingMemory {
			kept[server] = last
		}
	}
	for i := range listed {
		server := control.InstanceOf(&listed[i])
		if last, known := t.statements[server]; known {
			kept[server] = last
		}
	}
	t.statements = kept
}

// reports returns the statements that restrict what servers get, for another entry.
func (t *statementTable) reports(now time.Time) []datagram.Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]datagram.Statement, 0, len(t.statements))
	for server, last := range t.statements {
		if last.statement.Limited || last.statement.Leaving {
			reports = append(reports, datagram.Statement{Server: server, Statement: last.statement, Age: now.Sub(last.at)})
		}
	}
	return reports
}

// recordStatement records what a response says about its server. A field that cannot be read changes nothing.
func (g *Gateway) recordStatement(backend membership.ListedBackend, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return // from another server
	}
	statement, err := g.headers.Statement(response.Header)
	server, at := control.InstanceOf(&backend), time.Now()
	g.recordRest(&backend, response)
	if err != nil {
		g.metrics.count("statements_invalid")
		g.log.WithError(err).WithFields(logrus.Fields{"backend": backend.ID, "address": backend.Address}).Warn("backend-statement-invalid")
		if !statement.Leaving {
			return
		}
	}
	if !g.statements.record(server, statement, at) {
		return
	}
	g.enqueue(func(now time.Time) { g.statementChanged(now, server, statement, at, "response") })
}

// recordRest records that a server wants no requests for a time. A field that cannot be read changes nothing.
func (g *Gateway) recordRest(backend *membership.ListedBackend, response *http.Response) {
	rest, err := g.headers.Rest(response.StatusCode, response.Header)
	fields := logrus.Fields{"backend": backend.ID, "address": backend.Address}
	if err != nil {
		g.metrics.count("statements_invalid")
		g.log.WithError(err).WithFields(fields).Warn("backend-rest-invalid")
		return
	}
	if rest <= 0 {
		return
	}
	server := control.InstanceOf(backend)
	g.enqueue(func(now time.Time) {
		g.metrics.count("backend_rests")
		fields["stated_ms"], fields["rest_ms"] = rest.Milliseconds(), g.dispatcher.RecordRest(now, server, rest).Milliseconds()
		g.log.WithFields(fields).Info("backend-rests")
	})
}

// statementChanged applies a changed statement and passes it on to other entries. source says where this entry has it from,
// for the log.
func (g *Gateway) statementChanged(now time.Time, server attempt.ServerInstance, statement membership.Statement, at time.Time, source string) {
	g.metrics.count("statements_changed")
	g.log.WithFields(logrus.Fields{
		"backend": server.ID, "limited": statement.Limited, "request_rate": statement.RequestRate, "leaving": statement.Leaving, "source": source,
		"age_ms": now.Sub(at).Milliseconds(),
	}).Info("backend-statement")
	g.dispatcher.RecordStatement(now, server, statement)
	report := datagram.Statement{Server: server, Statement: statement, Age: now.Sub(at)}
	g.sendStatements([]datagram.Statement{report}, g.peerDirectory.sample(updateFanout)...)
}

// sendStatements sends statements to entries, in messages of the size of a packet.
func (g *Gateway) sendStatements(reports []datagram.Statement, to ...netip.AddrPort) {
	for part := range slices.Chunk(reports, maxStatements) {
		for _, peer := range to {
			g.socket.Send(peer, datagram.Message{Statements: &datagram.Statements{Statements: part}})
		}
	}
}

// handleStatements records what other entries have received.
func (g *Gateway) handleStatements(now time.Time, reports []datagram.Statement) {
	for _, report := range reports {
		at := now.Add(-max(report.Age, 0))
		if g.statements.record(report.Server, report.Statement, at) {
			g.statementChanged(now, report.Server, report.Statement, at, "entry")
		}
	}
}

// notifyLimitedSend tells all other entries of a send to a server that states a limit.
func (g *Gateway) notifyLimitedSend(backend *membership.ListedBackend) {
	message := datagram.Message{LimitedSend: &datagram.LimitedSend{Server: control.InstanceOf(backend)}}
	for peer := range g.peerDirectory.heardAt {
		g.socket.Send(peer, message)
	}
}
