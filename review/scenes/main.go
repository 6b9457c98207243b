//go:build review

// Command scenes plays the cases of this review: it starts the project's programs as separate processes on loopback, with
// stand-ins of the platform, replicas and clients, and checks one rule of the users' pages.
//
//	scenes NAME BINARY RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform"
	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// scene is one case in progress.
type scene struct {
	binary, directory string
	trouble           bool
	// network is the first two numbers of the loopback addresses of this run.
	network string

	mu         sync.Mutex
	record     *os.File
	started    time.Time
	violations []string
	processes  []*exec.Cmd
}

// scenes has the cases by name. Each returns an error if it could not run.
var scenes = map[string]func(s *scene) error{}

func main() {
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenes NAME BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	directory, err := os.MkdirTemp("", "scene-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(directory) }()
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	s := &scene{binary: binary, directory: directory, trouble: os.Getenv("TROUBLE") != "0", record: file, started: time.Now()}
	// Runs at the same time get different addresses.
	s.network = fmt.Sprintf("127.%d", 10+os.Getpid()%200)
	defer s.killAll()
	s.log("case %s, disruption: %t", name, s.trouble)
	if err := scenes[name](s); err != nil {
		s.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	s.mu.Lock()
	broken := len(s.violations)
	s.mu.Unlock()
	if broken > 0 {
		s.log("result: the rule was broken %d times", broken)
		fmt.Println("broken:", s.violations[0])
		return 1
	}
	s.log("result: the rule held")
	fmt.Println("held")
	return 0
}

// log writes a line into the record.
func (s *scene) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (s *scene) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

func (s *scene) broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.violations) > 0
}

// ip returns a loopback address of this run, without a port.
func (s *scene) ip(kind, index int) string { return fmt.Sprintf("%s.%d.%d", s.network, kind, index+1) }

// start starts a process of the product with the command of the deploy file and returns it.
func (s *scene) start(role string, settings standin.ProcessSettings) (*exec.Cmd, error) {
	path := filepath.Join(s.directory, settings.Name+".toml")
	if err := os.WriteFile(path, []byte(standin.SettingsFile(settings)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.directory, settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(s.binary, "platform", role, "--metrics-port", "9464")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process if this one dies without ending it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, command)
	s.mu.Unlock()
	return command, nil
}

// killAll ends all processes that were started.
func (s *scene) killAll() {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", s.directory, keep).Run()
	}
	for _, command := range s.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress(ip string) (string, error) {
	listener, err := listen(ip)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// freePeerPort returns a port for messages that is free at all addresses of a number of machines of one or two kinds.
func (s *scene) freePeerPort(machines map[int]int) (int, error) {
	for range 100 {
		port := 20000 + rand.IntN(10000)
		if s.isFree(port, machines) && s.isFree(port+1, machines) {
			return port, nil
		}
	}
	return 0, errors.New("no port for messages is free")
}

func (s *scene) isFree(port int, machines map[int]int) bool {
	for kind, number := range machines {
		for i := range number {
			conn, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", s.ip(kind, i), port))
			if err != nil {
				return false
			}
			_ = conn.Close()
		}
	}
	return true
}

// entrySettings returns the settings of an entry at free ports.
func (s *scene) entrySettings(index, entries, peerPort int, store string) (standin.ProcessSettings, error) {
	ip := s.ip(4, index)
	callers, err := freeAddress(ip)
	if err != nil {
		return standin.ProcessSettings{}, err
	}
	ready, err := freeAddress(ip)
	if err != nil {
		return standin.ProcessSettings{}, err
	}
	var seeds []string
	for i := range min(entries, 3) {
		// Only the address of a seed is used.
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(4, i), peerPort))
	}
	return standin.ProcessSettings{
		Name: fmt.Sprintf("entry-%d", index), IP: ip, PeerPort: peerPort, Store: store, Seeds: seeds, FirstStart: true, Callers: callers, Ready: ready,
	}, nil
}

// listen opens a listener at a free port of a loopback address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }
