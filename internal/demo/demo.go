// Package demo runs a whole deployment on loopback in one process: entries, agents, and
// stand-ins of the platform and the backend servers. Its callers check every answer.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

// Options are the settings of a demonstration.
type Options struct {
	// Deployment is the name of an example deployment, such as ndiaye.
	Deployment string
	// Duration is how long callers send requests.
	Duration time.Duration
	// Callers is the number of concurrent callers; each sends one request at a time.
	Callers int
	// Faults enables faults: it stops processes, drops the packets of connections, crashes
	// a backend server, and publishes a configuration during an outage of the
	// configuration service.
	Faults bool
	// Parts publishes the configuration as several keys and a manifest that lists them, instead
	// of one value.
	Parts bool
	// Seed determines requests and faults.
	Seed uint64
	// Out receives the progress and the results, Log the processes' log lines.
	Out io.Writer
	Log io.Writer
	// LogLevel is the lowest level that is logged; "" means info.
	LogLevel string
	// network opens sockets; its zero value uses the machine's network.
	network network.Network
	// adjustDocument, if set, changes the deployment's document before it is used.
	adjustDocument func(document *published.Document)
}

const (
	startTimeout     = 20 * time.Second
	faultsTimeout    = 60 * time.Second
	progressInterval = time.Second
	maxThinkTime     = 20 * time.Millisecond
)

// Errors of demonstrations.
var (
	// ErrInvariantViolated reports that at least one invariant was violated.
	ErrInvariantViolated = errors.New("at least one invariant was violated")
	errNotReady          = errors.New("not all entries became ready in time")
)

// demonstration is one run of a deployment.
type demonstration struct {
	options  Options
	cluster  *cluster
	requests *requestSet
	balancer *balancer
	sender   *sender
	report   *report
	started  time.Time
}

// Run runs a demonstration and prints the results. It returns ErrInvariantViolated if an
// invariant was violated.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests, err := readRequests(options.Deployment)
	if err != nil {
		return err
	}
	cluster, err := newCluster(ctx, options)
	if err != nil {
		return err
	}
	defer cluster.close()
	d := &demonstration{options: options, cluster: cluster, requests: requests, report: newReport(), started: time.Now()}
	d.balancer = newBalancer(cluster.entries(), options.Seed, options.network)
	d.sender = newSender(d.balancer, options.network)
	go d.balancer.run(ctx)
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.runLoad(ctx)
	return d.reportResults()
}

// printProgress prints a line with the time since the start.
func (d *demonstration) printProgress(format string, args ...any) {
	elapsed := time.Since(d.started).Round(100 * time.Millisecond)
	fmt.Fprintf(d.options.Out, "%6s  %s\n", elapsed, fmt.Sprintf(format, args...))
}

// waitReady waits until all entries are ready and the services are open.
func (d *demonstration) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for d.balancer.readyCount() < len(d.cluster.entries()) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNotReady
		}
		sleep(ctx, pollInterval)
	}
	d.printProgress("all %d entries are ready, %d agents have been started", len(d.cluster.entries()), len(d.cluster.agents()))
	sleep(ctx, time.Until(d.cluster.opensAt))
	return nil
}

// runLoad runs the callers for the configured duration, and until all faults have ended.
func (d *demonstration) runLoad(ctx context.Context) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range d.options.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			d.runCaller(ctx, uint64(i), stop)
		}()
	}
	faults := d.startFaults(ctx)
	d.awaitEnd(ctx, faults)
	close(stop)
	callers.Wait()
}

// startFaults starts the faults and returns a channel that is closed when they have ended.
func (d *demonstration) startFaults(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if !d.options.Faults {
		close(done)
		return done
	}
	plan := &faultPlan{
		cluster:       d.cluster,
		sender:        d.sender,
		requests:      d.requests,
		random:        rand.New(rand.NewPCG(d.options.Seed, 2)),
		printProgress: d.printProgress,
		report:        d.report,
		customer:      d.customers()[0],
	}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, faultsTimeout)
		defer cancel()
		plan.run(ctx)
	}()
	return done
}

// awaitEnd prints progress until the duration has passed and the faults have ended.
func (d *demonstration) awaitEnd(ctx context.Context, faults <-chan struct{}) {
	ends := time.After(d.options.Duration)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for ends != nil || faults != nil {
		select {
		case <-ends:
			ends = nil
		case <-faults:
			faults = nil
		case <-ticker.C:
			d.printProgress("%d calls", d.report.total())
		case <-ctx.Done():
			return
		}
	}
}

func (d *demonstration) customers() []ident.Customer {
	customers := make([]ident.Customer, 0, len(d.cluster.document.Customers))
	for _, customer := range d.cluster.document.Customers {
		customers = append(customers, customer.Name)
	}
	return customers
}

// runCaller is one caller: it sends one request after the other, some of them twice.
func (d *demonstration) runCaller(ctx context.Context, number uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(d.options.Seed, number+10))
	generator := &generator{requests: d.requests, customers: d.customers(), random: random, lastNumber: int(number) * numbersPerCaller}
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		r := generator.next()
		if r.resend {
			d.sendTwice(ctx, r)
		} else {
			d.report.add(d.sender.call(ctx, r))
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// numbersPerCaller is the size of each caller's range of request numbers, so that the ranges
// do not overlap.
const numbersPerCaller = 100_000

// sendTwice sends a request twice at the same time.
func (d *demonstration) sendTwice(ctx context.Context, r request) {
	var both sync.WaitGroup
	for range 2 {
		both.Add(1)
		go func() {
			defer both.Done()
			d.report.add(d.sender.call(ctx, r))
		}()
	}
	both.Wait()
}

// reportResults checks the invariants and prints the results.
func (d *demonstration) reportResults() error {
	for _, v := range d.cluster.entries() {
		d.report.recordAccount(v)
	}
	d.report.check(d.cluster.plainRuns(), d.cluster.runs())
	bytesLoaded := d.cluster.bytesLoaded()
	elapsed := time.Since(d.started)
	fmt.Fprintf(d.options.Out, "\n%d calls in %v\n", d.report.total(), elapsed.Round(time.Millisecond))
	d.cluster.checkGroups(d.report, d.options.Out, bytesLoaded)
	if !d.report.print(d.options.Out) {
		return ErrInvariantViolated
	}
	fmt.Fprintln(d.options.Out, "all invariants held: arrivals = served + not run + unknown, no duplicate run, no mismatched or truncated answer, no run of a call that was reported as not run")
	return nil
}
