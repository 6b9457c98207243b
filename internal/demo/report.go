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
	maxLatency       = int64(10 * time.Minute / time.Microsecond) // microseconds
	latencyDigits    = 3                                          // significant decimal digits
	inspectTimeout   = 2 * time.Second
	percentileMedian = 50
	percentileHigh   = 99
)

// rowKey identifies a row of the results.
type rowKey struct {
	customer    ident.Customer
	requestKind string
}

// row counts the calls of one customer and kind.
type row struct {
	arrivals, served, notRun, unknown int
}

// report collects the results of calls and the violated invariants.
type report struct {
	mu        sync.Mutex
	rows      map[rowKey]*row
	causes    map[outcome.Cause]int
	latency   map[string]*hdrhistogram.Histogram
	notRun    []ident.Request
	truncated int
	// wrongQuarantines is the number of quarantined calls that crash no backend server.
	wrongQuarantines int
	mismatched       int
	violations       []string
	// accounts holds the overload accounts of the entries: counts of calls by entry, customer and
	// class.
	accounts []admission.AccountEntry
	// accountsMissing is true if the overload account of an entry could not be read. No check
	// uses it.
	accountsMissing bool
	calls           int
}

func newReport() *report {
	return &report{
		rows:    map[rowKey]*row{},
		causes:  map[outcome.Cause]int{},
		latency: map[string]*hdrhistogram.Histogram{},
	}
}

// addViolation records a violated invariant.
func (r *report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// add records the result of a call.
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
	r.calls++
	switch got.outcome {
	case outcome.Served:
		line.served++
		r.recordLatency(got)
	case outcome.NotRun:
		line.notRun++
		r.causes[got.cause]++
		r.notRun = append(r.notRun, got.id)
	default:
		line.unknown++
		r.causes[got.cause]++
	}
	if got.cause == outcome.CauseQuarantined && got.request.kind != kindCrash {
		r.wrongQuarantines++
	}
	if got.truncated {
		r.truncated++
	}
	if got.mismatched {
		r.mismatched++
	}
}

// recordLatency records the latency of a served call.
func (r *report) recordLatency(got result) {
	histogram := r.latency[got.request.kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency, latencyDigits)
		r.latency[got.request.kind] = histogram
	}
	_ = histogram.RecordValue(got.latency.Microseconds())
}

// total returns the number of calls with an outcome.
func (r *report) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// recordAccount reads and stores the overload account of an entry: its counts of calls by
// customer and class. It is called before the entry stops, since the account is lost with the
// process.
func (r *report) recordAccount(v *vm) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	counts, ok := v.current().Account(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accountsMissing = r.accountsMissing || !ok
	r.accounts = append(r.accounts, counts...)
}

// check compares the results at the callers with the runs at the backend servers. It looks
// for duplicate runs in plain services only, since only they have requests that must not run
// twice.
func (r *report) check(plainRuns, runs []standin.Run) {
	duplicates := standin.DuplicateRuns(plainRuns, "POST ")
	if len(duplicates) > 0 {
		r.addViolation("%d duplicate runs, such as of %s", len(duplicates), duplicates[0].Operation)
	}
	for _, id := range r.ranDespiteNotRun(runs) {
		r.addViolation("call %s was reported as not run, but ran", id)
	}
	if r.wrongQuarantines > 0 {
		r.addViolation("%d calls that crash no backend server were quarantined", r.wrongQuarantines)
	}
	if r.truncated > 0 {
		r.addViolation("%d truncated answers", r.truncated)
	}
	if r.mismatched > 0 {
		r.addViolation("%d mismatched answers", r.mismatched)
	}
	for key, line := range r.rows {
		if line.arrivals != line.served+line.notRun+line.unknown {
			r.addViolation("the outcomes of customer %s, kind %s do not add up to the arrivals", key.customer, key.requestKind)
		}
	}
	for _, counts := range r.accounts {
		if sum := accountSum(counts); counts.Arrivals != sum {
			r.addViolation("the overload account of customer %s, class %s has %d arrivals and %d outcomes", counts.Key.Customer, counts.Key.Class, counts.Arrivals, sum)
		}
	}
}

// accountSum returns the number of calls that are open or have an outcome.
func accountSum(counts admission.AccountEntry) uint64 {
	sum := counts.Served + counts.Open
	for _, unserved := range counts.NotRun {
		sum += unserved.Count
	}
	for _, unserved := range counts.Unknown {
		sum += unserved.Count
	}
	return sum
}

// ranDespiteNotRun returns the calls that were reported to the caller as not run, but that a
// backend server ran.
func (r *report) ranDespiteNotRun(runs []standin.Run) []ident.Request {
	ran := map[ident.Request]bool{}
	for _, run := range runs {
		// A run's identifier consists of the call's identifier, a dot and the entry.
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

// print writes the results and the violations. It reports whether there are no violations.
func (r *report) print(out io.Writer) bool {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\tkind\tarrivals\tserved\tnot run\tunknown\t")
	var sum row
	for _, key := range r.keys() {
		line := r.rows[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t\n", key.customer, key.requestKind, line.arrivals, line.served, line.notRun, line.unknown)
		sum.arrivals += line.arrivals
		sum.served += line.served
		sum.notRun += line.notRun
		sum.unknown += line.unknown
	}
	fmt.Fprintf(table, "all\t\t%d\t%d\t%d\t%d\t\n", sum.arrivals, sum.served, sum.notRun, sum.unknown)
	_ = table.Flush()
	r.printCauses(out)
	r.printLatency(out)
	for _, violation := range r.violations {
		fmt.Fprintln(out, "VIOLATION:", violation)
	}
	return len(r.violations) == 0
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
		return keys[i].requestKind < keys[j].requestKind
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
