// Package demo runs a whole deployment on loopback in one process: entries, agents and
// stand-ins of the platform, with callers that check every answer.
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
	// Deployment is the name of an example.
	Deployment string
	// Duration is how long callers send requests.
	Duration time.Duration
	// Callers is the number of callers that send one request after the other.
	Callers int
	// Faults stops processes, silences connections, crashes a backend server, takes the
	// configuration service away and publishes a change.
	Faults bool
	// Parts publishes the configuration in parts.
	Parts bool
	// Seed decides the requests and the faults.
	Seed uint64
	// Out takes the progress and the account, Log the processes' log lines.
	Out io.Writer
	Log io.Writer
	// LogLevel is the least severe level that is logged; "" means info.
	LogLevel string
	// network opens sockets; the zero value is the machine's.
	network network.Network
	// adjust may change the deployment's document before it is used.
	adjust func(document *published.Document)
}

const (
	startTimeout  = 20 * time.Second
	faultsTimeout = 60 * time.Second
	sayInterval   = time.Second
	thinkTime     = 20 * time.Millisecond
)

// Errors of demonstrations.
var (
	// ErrDoesNotHold reports that something that must always hold did not.
	ErrDoesNotHold = errors.New("something that must always hold did not")
	errNotReady    = errors.New("the deployment did not become ready")
)

// demonstration is one run.
type demonstration struct {
	options  Options
	cluster  *cluster
	set      *requestSet
	balancer *balancer
	callers  *callers
	report   *report
	started  time.Time
}

// Run runs a demonstration. It returns ErrDoesNotHold after printing what did not hold.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	set, err := readRequests(options.Deployment)
	if err != nil {
		return err
	}
	cluster, err := newCluster(ctx, options)
	if err != nil {
		return err
	}
	defer cluster.close()
	d := &demonstration{options: options, cluster: cluster, set: set, report: newReport(), started: time.Now()}
	d.balancer = newBalancer(cluster.entries(), options.Seed, options.network)
	d.callers = newCallers(d.balancer, options.network)
	go d.balancer.run(ctx)
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.load(ctx)
	return d.conclude()
}

func (d *demonstration) say(format string, args ...any) {
	elapsed := time.Since(d.started).Round(100 * time.Millisecond)
	fmt.Fprintf(d.options.Out, "%6s  %s\n", elapsed, fmt.Sprintf(format, args...))
}

func (d *demonstration) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for d.balancer.readyCount() < len(d.cluster.entries()) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNotReady
		}
		sleep(ctx, pollInterval)
	}
	d.say("%d entries and %d agents are ready", len(d.cluster.entries()), len(d.cluster.agents()))
	sleep(ctx, time.Until(d.cluster.opensAt))
	return nil
}

// load lets callers send requests for the time, and for as long as faults go on.
func (d *demonstration) load(ctx context.Context) {
	stop := make(chan struct{})
	var working sync.WaitGroup
	for i := range d.options.Callers {
		working.Add(1)
		go func() {
			defer working.Done()
			d.send(ctx, uint64(i), stop)
		}()
	}
	faults := d.startFaults(ctx)
	d.watch(ctx, faults)
	close(stop)
	working.Wait()
}

// startFaults begins the faults and returns a channel that is closed at their end.
func (d *demonstration) startFaults(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if !d.options.Faults {
		close(done)
		return done
	}
	plan := &faultPlan{
		cluster:  d.cluster,
		callers:  d.callers,
		set:      d.set,
		random:   rand.New(rand.NewPCG(d.options.Seed, 2)),
		say:      d.say,
		report:   d.report,
		customer: d.customers()[0],
	}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, faultsTimeout)
		defer cancel()
		plan.run(ctx)
	}()
	return done
}

// watch shows progress until the time has passed and the faults have ended.
func (d *demonstration) watch(ctx context.Context, faults <-chan struct{}) {
	ends := time.After(d.options.Duration)
	ticker := time.NewTicker(sayInterval)
	defer ticker.Stop()
	for ends != nil || faults != nil {
		select {
		case <-ends:
			ends = nil
		case <-faults:
			faults = nil
		case <-ticker.C:
			d.say("%d calls", d.report.total())
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

// send is one caller: it sends requests one after the other, some of them twice.
func (d *demonstration) send(ctx context.Context, number uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(d.options.Seed, number+10))
	generator := &generator{set: d.set, customers: d.customers(), random: random, number: int(number) * callerNumbers}
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
			d.report.add(d.callers.call(ctx, r))
		}
		sleep(ctx, time.Duration(random.Int64N(int64(thinkTime))))
	}
}

// callerNumbers keeps the numbers of different callers apart.
const callerNumbers = 100_000

// sendTwice sends a request a second time while the first may still be open.
func (d *demonstration) sendTwice(ctx context.Context, r request) {
	var both sync.WaitGroup
	for range 2 {
		both.Add(1)
		go func() {
			defer both.Done()
			d.report.add(d.callers.call(ctx, r))
		}()
	}
	both.Wait()
}

// conclude checks what must always hold and prints the account.
func (d *demonstration) conclude() error {
	for _, v := range d.cluster.entries() {
		d.report.keepAccount(v)
	}
	d.report.check(d.cluster.plainRuns(), d.cluster.runs())
	moved := d.cluster.bytesLoaded()
	elapsed := time.Since(d.started)
	fmt.Fprintf(d.options.Out, "\n%d calls in %v\n", d.report.total(), elapsed.Round(time.Millisecond))
	d.cluster.checkGroups(d.report, d.options.Out, moved)
	if !d.report.print(d.options.Out) {
		return ErrDoesNotHold
	}
	fmt.Fprintln(d.options.Out, "all that must hold did: arrivals = served + not run + unknown, no doubled run, no crossed or torn answer, no run that was told not run")
	return nil
}
