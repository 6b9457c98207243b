package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// passModes logs changes of the mode in which groups admit streams, and sets the metrics of their prediction.
type passModes struct {
	late map[ident.Group]bool
}

// report logs and counts the modes of all groups. It is called at each tick.
func (p *passModes) report(now time.Time, g *Gateway, modes []control.GroupMode) {
	if p.late == nil {
		p.late = map[ident.Group]bool{}
	}
	for _, mode := range modes {
		scope := g.metrics.scope.Tagged(map[string]string{"group": string(mode.Group)})
		late := 0.0
		if mode.Late {
			late = 1
		}
		scope.Gauge("group_serves_late").Update(late)
		scope.Gauge("group_pass_margin").Update(mode.Pace.Forecast.Margin)
		scope.Gauge("group_peaks_expected").Update(float64(len(mode.Pace.Forecast.Peaks)))
		if mode.Late == p.late[mode.Group] {
			continue
		}
		p.late[mode.Group] = mode.Late
		g.log.WithFields(logrus.Fields{
			"group": mode.Group, "late": mode.Late, "writers": mode.Pace.Writers, "ranks": mode.Pace.Ranks,
			"pass_ms": mode.Pace.Pass.Milliseconds(), "skew": mode.Pace.Skew, "calm_skew": mode.Pace.Forecast.CalmSkew,
			"slowest": mode.Pace.SlowestRank(), "demand": mode.Demand, "pace_age_ms": now.Sub(mode.Pace.ReceivedAt).Milliseconds(),
		}).Warn("group-mode-changed")
	}
}

// addPassFields adds the inputs of the decision on a stream to its log line.
func addPassFields(fields logrus.Fields, a *control.Assignment) {
	fields["prompt"], fields["predicted_first_ms"] = a.PromptTokens, a.FirstEvent.Milliseconds()
	fields["writers"], fields["pass_ms"], fields["pace_age_ms"] = a.Writers, a.Pass.Milliseconds(), a.ReportAge.Milliseconds()
	fields["pass_mode"] = a.Mode
	if a.PeakPass > 0 {
		fields["peak_pass_ms"], fields["writer_limit"], fields["margin_percent"] = a.PeakPass.Milliseconds(), a.Limit, int(100*a.Margin)
	}
}
