//go:build review

package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and ports of the deployment. Each machine has a loopback address of its own, so that ports are the same on all.
const (
	callerHost  = "counter.example"
	service     = "guichet"
	tenant      = "tenant-1"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	metricsPort = 9464
	replicaPort = 8000
	storePort   = 8223
	peerPort    = 7340
)

var errNotReady = errors.New("an entry did not become ready within 20 s")

// route is a route of the configuration.
type route struct {
	name, prefix, kind string
	attempts           int
	resumable          bool
}

// options are the properties of a deployment that differ from case to case.
type options struct {
	entries, replicas int
	memoryMB          int
	timeout           time.Duration
	// slots is the number of requests that a replica runs at a time; 0 for 6.
	slots  int
	routes []route
}

// deployment is a small deployment: a store, replicas of a plain service, and entries as processes of their own.
type deployment struct {
	options   options
	prefix    string
	directory string
	binary    string
	record    *record
	store     *store
	entries   []*entry
	closers   []func()
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// newDeployment starts the store and the entries. handlers returns the program of a replica, which gets its ID.
func newDeployment(out *record, o options, serve func(id string, listener net.Listener)) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/bramleyspool")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, directory: directory, binary: binary, record: out, store: newStore()}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(directory) })
	storeListener, err := d.choosePrefix()
	if err != nil {
		return d, err
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(storeListener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	d.publish(1)
	for i := range o.replicas {
		address := fmt.Sprintf("%s.%d:%d", d.prefix, 100+i, replicaPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return d, err
		}
		d.closers = append(d.closers, func() { _ = listener.Close() })
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		go serve(id, listener)
		d.store.put("servers/"+id, map[string]any{
			"service": service, "address": address, "zone": "plateau", "version": "1", "slots": cmp.Or(o.slots, 6), "state": "ready",
			"warmup-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		out.line("replica %s listens at %s", id, address)
	}
	for i := range o.entries {
		e, err := d.startEntry(i)
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, e)
	}
	return d, d.awaitReady()
}

// choosePrefix chooses loopback addresses on which the store's port is free, and opens it.
func (d *deployment) choosePrefix() (net.Listener, error) {
	var err error
	for range 20 {
		d.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s.7:%d", d.prefix, storePort)); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// publish writes a configuration and returns when the store has acknowledged it.
func (d *deployment) publish(version int) {
	var routes []map[string]any
	for _, r := range d.options.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": callerHost, "prefix": r.prefix, "kind": r.kind, "service": service, "attempts": r.attempts,
			"timeout-ms": d.options.timeout.Milliseconds(), "target-latency-ms": 100, "priority": 2, "resumable": r.resumable,
		})
	}
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/healthz", "max-conns": 192}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-ms": 3000, "idle-ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api-keys": []string{apiKey}}},
	})
}

// entry is an entry's process.
type entry struct {
	number  int
	address string
	ready   string
	command *exec.Cmd
	exited  chan struct{}
	// ending is true once the case itself ends the process.
	mu     sync.Mutex
	ending bool
}

// startEntry starts an entry with the command of the deploy file.
func (d *deployment) startEntry(number int) (*entry, error) {
	ip := fmt.Sprintf("%s.%d", d.prefix, 40+number)
	e := &entry{
		number: number, address: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readyPort), exited: make(chan struct{}),
	}
	var seeds []string
	for i := range d.options.entries {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", d.prefix, 40+i, controlPort)))
	}
	settings := fmt.Sprintf(`node-name = "front-plateau-%d"
role = "entry"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = "plateau"
region = "dakar"
internal-ports = [%d,%d]
seeds = [%s]
first-start = true
heartbeat-ms = 1200
[zones]
plateau = "dakar"
[listen]
front = %q
ready = %q
control = "%s:%d"
[limits]
cpu-share = 0.208
cores = 1
memory-mb = %d
max-fds = 2940
link-mbps = 700.0
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
config-ms = 2000
revoke-ms = 5000
strict-revoke = true
budget-ratio = 0.2
budget-window-s = 10
retry-slack = 176
[platform]
address = "%s.7:%d"
`, number+1, ip, peerPort, peerPort+15, strings.Join(seeds, ","), e.address, e.ready, ip, controlPort, d.options.memoryMB, d.prefix, storePort)
	path := filepath.Join(d.directory, fmt.Sprintf("entry-%d.toml", number))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(d.directory, fmt.Sprintf("entry-%d.log", number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	e.command = exec.Command(d.binary, "platform", "entry", "--metrics-port", fmt.Sprint(metricsPort))
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BRAMLEYSPOOL_NODE_FILE=" + path}
	e.command.Stdout, e.command.Stderr = log, log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	d.record.line("entry %d started as process %d at %s", number, e.command.Process.Pid, e.address)
	go func() {
		err := e.command.Wait()
		_ = log.Close()
		e.mu.Lock()
		if !e.ending {
			d.record.line("entry %d ended: %v", number, err)
		}
		e.mu.Unlock()
		close(e.exited)
	}()
	return e, nil
}

// kill ends the process.
func (e *entry) kill() {
	e.mu.Lock()
	e.ending = true
	e.mu.Unlock()
	_ = e.command.Process.Kill()
	<-e.exited
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(d.entries) {
			d.record.line("all entries are ready")
			return nil
		}
	}
	return errNotReady
}

// logLines returns the lines of an entry's log that contain a text.
func (d *deployment) logLines(number int, text string) []string {
	data, err := os.ReadFile(filepath.Join(d.directory, fmt.Sprintf("entry-%d.log", number)))
	if err != nil {
		return nil
	}
	var found []string
	for line := range bytes.Lines(data) {
		if bytes.Contains(line, []byte(text)) {
			found = append(found, strings.TrimSpace(string(line)))
		}
	}
	return found
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill()
	}
	for _, closer := range d.closers {
		closer()
	}
}
