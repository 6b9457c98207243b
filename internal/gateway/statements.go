package gateway

import (
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// statementTable has the last statement of each backend server that has made one. It is safe for concurrent use.
type statementTable struct {
	mu         sync.Mutex
	statements map[string]membership.Statement
}

func newStatementTable() *statementTable {
	return &statementTable{statements: map[string]membership.Statement{}}
}

// replace sets the statement of a server and reports whether it differs from the previous one.
func (t *statementTable) replace(backend string, statement membership.Statement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statements[backend] == statement {
		return false
	}
	t.statements[backend] = statement
	if statement == (membership.Statement{}) {
		delete(t.statements, backend)
	}
	return true
}

// retain removes the statements of servers that are not listed.
func (t *statementTable) retain(listed []membership.ListedBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.statements) == 0 {
		return
	}
	kept := map[string]membership.Statement{}
	for i := range listed {
		if statement, known := t.statements[listed[i].ID]; known {
			kept[listed[i].ID] = statement
		}
	}
	t.statements = kept
}

// recordStatement records what a response says about its server. A field that cannot be read changes nothing.
func (g *Gateway) recordStatement(backend membership.ListedBackend, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return // from another server
	}
	log := g.log.WithFields(logrus.Fields{"backend": backend.ID, "address": backend.Address, "service": backend.Service})
	statement, err := g.headers.Statement(response.Header)
	if err != nil {
		g.metrics.count("statements_invalid")
		log.WithError(err).Warn("backend-statement-invalid")
		return
	}
	if !g.statements.replace(backend.ID, statement) {
		return
	}
	g.metrics.count("statements_changed")
	log.WithFields(logrus.Fields{"limited": statement.Limited, "request_rate": statement.RequestRate}).Info("backend-statement")
}
