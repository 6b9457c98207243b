package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// leaseCase is the size of a region and the load of an entry.
type leaseCase struct {
	entries  int
	backends int
	zones    int
	// dispatches is the number of dispatches per second of one entry. The simulation rounds it down to a
	// multiple of 10: for 33 it makes 3 dispatches per tick of 100 ms, 30 per second.
	dispatches int
}

func leaseCases() []leaseCase {
	return []leaseCase{{3, 19, 3, 0}, {3, 19, 3, 33}, {36, 250, 3, 0}, {36, 250, 3, 33}, {60, 833, 4, 0}, {60, 833, 4, 33}}
}

// leaseTraffic counts the lease messages of one entry: those sent on their own, and those piggybacked on
// dispatches.
type leaseTraffic struct {
	standalone  traffic
	piggybacked traffic
}

func runLeases(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Bytes of leases, sent and received",
		Labels: []string{"entries x backend servers", "dispatches a second"},
		Columns: []experiment.Column{
			{Name: "subset", Unit: "backend servers"},
			{Name: "entry, messages", Unit: "B/s"},
			{Name: "entry, with headers", Unit: "B/s"},
			{Name: "entry, riding on dispatches", Unit: "B/s"},
			{Name: "agent, with headers", Unit: "B/s"},
		},
	}
	for i, c := range leaseCases() {
		var samples [][]float64
		for j := range params.Seeds {
			if err := ctx.Err(); err != nil {
				return experiment.Result{}, err
			}
			figures, err := measureLeases(c, params.Seed+uint64(j))
			if err != nil {
				return experiment.Result{}, err
			}
			samples = append(samples, figures)
		}
		labels := []string{fmt.Sprintf("%dx%d", c.entries, c.backends), fmt.Sprint(c.dispatches)}
		table.Rows = append(table.Rows, experiment.Row{Labels: labels, Cells: cells(samples)})
		params.ReportProgress(i+1, len(leaseCases()))
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// measureLeases simulates one entry with all agents of its subset for a minute. It returns one value per
// column of the table.
func measureLeases(c leaseCase, seed uint64) ([]float64, error) {
	entries, backends := members("entry", c.entries, c.zones), members("backend", c.backends, c.zones)
	settings := membership.DefaultSubsetSettings()
	subset := membership.Subset(entries[0].VM, entries, backends, settings)
	self := ident.Instance{VM: entries[0].VM, Incarnation: 1 << 60}
	holder, err := membership.NewHolder(membership.HolderSettings{Self: self}, charts.Files)
	if err != nil {
		return nil, err
	}
	run := &leaseRun{self: self, holder: holder, grantors: map[ident.VM]*membership.Grantor{}}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, vm := range subset {
		grantor := membership.NewGrantor(membership.GrantorSettings{Self: ident.Instance{VM: vm, Incarnation: ident.Incarnation(1<<60 + i)}, Slots: 40})
		// CacheUsed is in per mille, StepTime in microseconds.
		grantor.Step(now, membership.LoadReported{Load: membership.Load{Running: 20, Tokens: 4000, CacheUsed: 700, StepTime: 28000}})
		run.grantors[vm] = grantor
	}
	random := rand.New(rand.NewPCG(seed, 3))
	run.stepHolder(now, membership.BackendsChosen{VMs: subset})
	const duration = time.Minute
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < duration; at += tick {
		now = now.Add(tick)
		for range c.dispatches / 10 {
			vm := subset[random.IntN(len(subset))]
			if request, due := holder.Request(now, vm); due {
				run.requestLease(now, vm, request, &run.traffic.piggybacked)
			}
		}
		run.stepHolder(now, membership.HolderTick{})
	}
	perBackend := float64(settings.EntriesPerBackend(c.entries, c.backends))
	seconds := duration.Seconds()
	standalone := run.traffic.standalone.wireBytes() / seconds
	return []float64{
		float64(len(subset)),
		float64(run.traffic.standalone.bytes) / seconds,
		standalone,
		float64(run.traffic.piggybacked.bytes) / seconds,
		(standalone + float64(run.traffic.piggybacked.bytes)/seconds) / float64(len(subset)) * perBackend,
	}, nil
}

// leaseRun simulates one entry and the agents of its subset.
type leaseRun struct {
	self     ident.Instance
	holder   *membership.Holder
	grantors map[ident.VM]*membership.Grantor
	traffic  leaseTraffic
}

func (r *leaseRun) stepHolder(now time.Time, event membership.HolderEvent) {
	for _, action := range r.holder.Step(now, event) {
		if send, ok := action.(membership.SendLeaseRequest); ok {
			r.requestLease(now, send.To, send.Request, &r.traffic.standalone)
		}
	}
}

func (r *leaseRun) requestLease(now time.Time, vm ident.VM, request membership.LeaseRequest, count *traffic) {
	count.add(sizeOf(request))
	for _, action := range r.grantors[vm].Step(now, membership.LeaseRequested{From: r.self, Request: request}) {
		grant := action.(membership.SendGrant).Grant
		count.add(sizeOf(grant))
		r.stepHolder(now, membership.GrantReceived{From: vm, Grant: grant})
	}
}

// sizeOf returns the encoded size of a message in bytes, including one byte for its type.
func sizeOf(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic("invariant: CBOR encoding of a message failed: " + err.Error())
	}
	return len(data) + 1
}
