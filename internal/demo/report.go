package demo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

const (
	maxLatency       = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
	inspectTimeout   = 2 * time.Second
	percentileMedian = 50
	percentileHigh   = 99
)

// rowKey names one line of the callers' account.
type rowKey struct {
	customer ident.Customer
	kind     string
}

// row counts the calls of one customer and kind.
type row struct {
	arrivals, served, notRun, unknown int
}

// report gathers what callers learnt and what must not be.
type report struct {
	mu      sync.Mutex
	rows    map[rowKey]*row
	causes  map[outcome.Cause]int
	latency map[string]*hdrhistogram.Histogram
	notRun  []ident.Request
	torn    int
	// innocents are the quarantined calls that crash nothing.
	innocents int
	crossed   int
	findings  []string
	accounts  []admission.AccountEntry
	// accountsLost is true if the account of a process could not be read.
	accountsLost bool
	arrived      int
}

func newReport() *report {
	return &report{
		rows:    map[rowKey]*row{},
		causes:  map[outcome.Cause]int{},
		latency: map[string]*hdrhistogram.Histogram{},
	}
}

// find records that something did not hold.
func (r *report) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// add counts a call.
func (r *report) add(got result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey{got.request.customer, got.request.kind}
	line := r.rows[key]
	if line == nil {
		line = &row{}
		r.rows[key] = line
	}
	line.arrivals++
	r.arrived++
	switch got.kind {
	case outcome.Served:
		line.served++
		r.time(got)
	case outcome.NotRun:
		line.notRun++
		r.causes[got.cause]++
		r.notRun = append(r.notRun, got.id)
	default:
		line.unknown++
		r.causes[got.cause]++
	}
	if got.cause == outcome.CauseQuarantined && got.request.kind != kindCrash {
		r.innocents++
	}
	if got.torn {
		r.torn++
	}
	if got.crossed {
		r.crossed++
	}
}

func (r *report) time(got result) {
	histogram := r.latency[got.request.kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency, latencyDigits)
		r.latency[got.request.kind] = histogram
	}
	_ = histogram.RecordValue(got.took.Microseconds())
}

// total returns the number of calls with an outcome.
func (r *report) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

// keepAccount keeps the account of an entry that is about to end.
func (r *report) keepAccount(v *vm) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	entries, ok := v.current().Account(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accountsLost = r.accountsLost || !ok
	r.accounts = append(r.accounts, entries...)
}

// check compares what callers were told with what backend servers truly ran. Only plain
// services have requests that must not run twice.
func (r *report) check(plainRuns, runs []standin.Run) {
	doubled := standin.DuplicateRuns(plainRuns, "POST ")
	if len(doubled) > 0 {
		r.find("%d doubled runs, such as %s", len(doubled), doubled[0].Operation)
	}
	for _, id := range r.toldNotRun(runs) {
		r.find("call %s was told not run, but ran", id)
	}
	if r.innocents > 0 {
		r.find("%d calls that crash nothing were quarantined", r.innocents)
	}
	if r.torn > 0 {
		r.find("%d torn answers", r.torn)
	}
	if r.crossed > 0 {
		r.find("%d crossed answers", r.crossed)
	}
	for key, line := range r.rows {
		if line.arrivals != line.served+line.notRun+line.unknown {
			r.find("the account of %s %s does not sum up", key.customer, key.kind)
		}
	}
	for _, entry := range r.accounts {
		if sum := accountSum(entry); entry.Arrivals != sum {
			r.find("the account of %s %s has %d arrivals and %d outcomes", entry.Key.Customer, entry.Key.Class, entry.Arrivals, sum)
		}
	}
}

func accountSum(entry admission.AccountEntry) uint64 {
	sum := entry.Served + entry.Open
	for _, refusals := range entry.NotRun {
		sum += refusals.Count
	}
	for _, refusals := range entry.Unknown {
		sum += refusals.Count
	}
	return sum
}

// toldNotRun returns the calls that were told not run although a backend server ran them.
func (r *report) toldNotRun(runs []standin.Run) []ident.Request {
	ran := map[ident.Request]bool{}
	for _, run := range runs {
		call, _, _ := strings.Cut(string(run.Request), ".")
		ran[ident.Request(call)] = true
	}
	var wrong []ident.Request
	for _, id := range r.notRun {
		if id != "" && ran[id] {
			wrong = append(wrong, id)
		}
	}
	return wrong
}

// print writes the account and the findings, and reports whether there are none.
func (r *report) print(out io.Writer) bool {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\tkind\tarrivals\tserved\tnot run\tunknown\t")
	var sum row
	for _, key := range r.keys() {
		line := r.rows[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t\n", key.customer, key.kind, line.arrivals, line.served, line.notRun, line.unknown)
		sum.arrivals += line.arrivals
		sum.served += line.served
		sum.notRun += line.notRun
		sum.unknown += line.unknown
	}
	fmt.Fprintf(table, "all\t\t%d\t%d\t%d\t%d\t\n", sum.arrivals, sum.served, sum.notRun, sum.unknown)
	_ = table.Flush()
	r.printCauses(out)
	r.printLatency(out)
	for _, finding := range r.findings {
		fmt.Fprintln(out, "DOES NOT HOLD:", finding)
	}
	return len(r.findings) == 0
}

func (r *report) keys() []rowKey {
	keys := make([]rowKey, 0, len(r.rows))
	for key := range r.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].customer != keys[j].customer {
			return keys[i].customer < keys[j].customer
		}
		return keys[i].kind < keys[j].kind
	})
	return keys
}

func (r *report) printCauses(out io.Writer) {
	var causes []string
	for cause, count := range r.causes {
		causes = append(causes, fmt.Sprintf("%s=%d", cause, count))
	}
	sort.Strings(causes)
	fmt.Fprintln(out, "causes:", strings.Join(causes, " "))
}

func (r *report) printLatency(out io.Writer) {
	var kinds []string
	for kind := range r.latency {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		histogram := r.latency[kind]
		median := time.Duration(histogram.ValueAtPercentile(percentileMedian)) * time.Microsecond
		high := time.Duration(histogram.ValueAtPercentile(percentileHigh)) * time.Microsecond
		fmt.Fprintf(out, "latency %s: median %v, p99 %v\n", kind, median, high)
	}
}
