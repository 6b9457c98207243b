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

// process is one real process of the system, which is started again when it has ended.
type process struct {
	role   string
	place  standin.ProcessSettings
	binary string
	folder string
	// ended takes ends that no signal of the soak caused.
	report func(breach string)

	// busy is held by the fault that has to do with the process.
	busy sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// incarnation counts starts; signalled is true once the soak stopped or killed this one.
	incarnation int
	signalled   bool
	// stops are the starts of planned stops, by incarnation.
	stops map[int]time.Time
}

// start runs the program. Its log is kept in the soak's folder.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := filepath.Join(p.folder, p.place.Name+".toml")
	if err := os.WriteFile(settings, []byte(standin.SettingsFile(p.place)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.place.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, "platform", p.role)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	// The process ends with the soak, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited, p.signalled = command, make(chan struct{}), false
	p.incarnation++
	go p.wait(command, p.exited, log)
	return nil
}

func (p *process) wait(command *exec.Cmd, exited chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	p.mu.Lock()
	signalled := p.signalled
	p.mu.Unlock()
	if !signalled {
		p.report(fmt.Sprintf("%s ended by itself: %v", p.place.Name, err))
	}
	close(exited)
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch signal {
	case syscall.SIGKILL:
		p.signalled = true
	case syscall.SIGTERM:
		p.signalled = true
		p.stops[p.incarnation] = time.Now()
	}
	// A process that has just ended takes no signal, which is as good.
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and starts it again after the pause.
func (p *process) kill(pause time.Duration) error {
	p.signal(syscall.SIGKILL)
	<-p.exited
	time.Sleep(pause)
	return p.start()
}

// stop asks for a planned stop, as the platform does, and starts the process again.
func (p *process) stop(grace time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.report(fmt.Sprintf("%s was still there %s after it was asked to stop", p.place.Name, grace))
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	return p.start()
}

// end ends the process for good.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// current returns the number of the incarnation.
func (p *process) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// stopOf returns when the planned stop of an incarnation began; false if there was none.
func (p *process) stopOf(incarnation int) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.stops[incarnation]
	return at, ok
}
