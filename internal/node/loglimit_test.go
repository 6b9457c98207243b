package node

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The line of the one call that failed was left out because routine lines had used up the budget of its second.
func TestWarningsAreWrittenBesideManyRoutineLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	writer := NewLimitedWriter(&out, 10)
	log, err := NewLogger(writer, "info", "vm", "entry")
	c.Assert(err, qt.IsNil)
	for i := range 100 {
		log.WithField("request", fmt.Sprint("routine-", i)).Info("call")
	}
	log.WithField("request", "lost").Warn("call")
	log.Error("failed")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	writer.Run(ctx)
	c.Assert(strings.Count(out.String(), "routine-"), qt.Equals, 10)
	c.Assert(out.String(), qt.Contains, "request=lost")
	c.Assert(out.String(), qt.Contains, "msg=failed")
	c.Assert(out.String(), qt.Contains, "msg=log-lines-left-out count=90", qt.Commentf("lines of the last second are counted at the end"))
}
