package attempt

import (
	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// The states of a run key at its owner, as in charts/runkey.json.
const (
	keyNew       chart.State = "new"
	keyHeld      chart.State = "held"
	keyRunning   chart.State = "running"
	keyServed    chart.State = "served"
	keyInDoubt   chart.State = "in-doubt"
	keyForgotten chart.State = "forgotten"
)

// The states of a call at its entry, as in charts/call.json.
const (
	callRouting    chart.State = "routing"
	callDispatched chart.State = "dispatched"
	callRunning    chart.State = "running"
	callRevoking   chart.State = "revoking"
	callDone       chart.State = "done"
)

// KeyVocabulary lists the actions of charts/runkey.json.
func KeyVocabulary() chart.Vocabulary {
	return chart.Vocabulary{Actions: []chart.Action{
		"run", "reply-queued", "refuse", "reply-answer", "reply-not-started", "reply-in-doubt",
	}}
}

// CallVocabulary lists the guards and actions of charts/call.json.
func CallVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards: []chart.Guard{"hedging", "may-hedge", "other-open", "may-retry", "may-rerun", "caller-waits"},
		Actions: []chart.Action{
			"dispatch", "drop-hedge", "route-hedge", "route-again", "query", "revoke", "revoke-others",
			"resume", "cancel", "finish-refused", "finish-answered", "finish-unknown",
		},
	}
}

var (
	keyChart  = mustLoad("runkey", KeyVocabulary())
	callChart = mustLoad("call", CallVocabulary())
)

// mustLoad panics on an invalid chart, as the charts are embedded in the program.
func mustLoad(name string, vocabulary chart.Vocabulary) *chart.Chart {
	loaded, err := chart.Load(charts.Files, name, vocabulary)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	return loaded
}
