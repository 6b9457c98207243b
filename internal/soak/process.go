package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform"
	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// process is an entry or agent, which runs as a process of the operating system and can be restarted.
type process struct {
	role      string
	settings  standin.ProcessSettings
	binary    string
	directory string
	// reportViolation receives exits without a SIGTERM or SIGKILL from the soak, and planned stops that took too long.
	reportViolation func(violation string)

	// faultLock is held by the fault that acts on the process.
	faultLock sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// incarnation counts the starts. exitExpected is true once the soak has sent SIGTERM or SIGKILL to the current
	// incarnation.
	incarnation  int
	startedAt    time.Time
	exitExpected bool
	// plannedStops holds when planned stops began, by incarnation.
	plannedStops map[int]time.Time
}

// start starts the program. It writes its settings and its log into the soak's directory.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settingsPath := filepath.Join(p.directory, p.settings.Name+".toml")
	if err := os.WriteFile(settingsPath, []byte(standin.SettingsFile(p.settings)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.directory, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, "platform", p.role, "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+settingsPath)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process if the soak dies without ending it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited, p.exitExpected = command, make(chan struct{}), false
	p.incarnation++
	p.startedAt = time.Now()
	go p.wait(command, p.exited, log)
	return nil
}

// wait waits for the exit of an incarnation and reports a violation if the soak had sent neither SIGTERM nor SIGKILL.
func (p *process) wait(command *exec.Cmd, exited chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	if !expected {
		p.reportViolation(fmt.Sprintf("%s exited without SIGTERM or SIGKILL from the soak: %v", p.settings.Name, err))
	}
	close(exited)
}

// signalIncarnation sends a signal to the process unless it has been restarted since the incarnation.
func (p *process) signalIncarnation(incarnation int, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == incarnation {
		p.signalLocked(signal)
	}
}

// signal sends a signal to the process. SIGKILL and SIGTERM mark its exit as expected.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalLocked(signal)
}

// signalLocked is signal for callers that hold the lock.
func (p *process) signalLocked(signal syscall.Signal) {
	switch signal {
	case syscall.SIGKILL:
		p.exitExpected = true
	case syscall.SIGTERM:
		p.exitExpected = true
		if _, stopping := p.plannedStops[p.incarnation]; !stopping {
			p.plannedStops[p.incarnation] = time.Now()
		}
	}
	// The error is ignored: the process may already have exited.
	_ = p.command.Process.Signal(signal)
}

// killAndRestart kills the process and starts it again after the pause.
func (p *process) killAndRestart(pause time.Duration) error {
	p.signal(syscall.SIGKILL)
	<-p.exited
	time.Sleep(pause)
	return p.start()
}

// stopAndRestart stops the process with SIGTERM, as the platform does for a planned stop, and starts it again. It reports
// a violation if the process has not exited after the timeout.
func (p *process) stopAndRestart(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.reportViolation(fmt.Sprintf("%s was still running %s after SIGTERM", p.settings.Name, timeout))
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	return p.start()
}

// terminate kills the process without a restart.
func (p *process) terminate() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// currentIncarnation returns the number of the current incarnation.
func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// currentStart returns when the current incarnation was started.
func (p *process) currentStart() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt
}

// plannedStopOf returns when the planned stop of an incarnation began, and false if there was none.
func (p *process) plannedStopOf(incarnation int) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.plannedStops[incarnation]
	return at, ok
}
