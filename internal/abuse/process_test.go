package abuse

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// program is the path of the program under test, which is built without the race detector: its memory is checked.
var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "bramleyspool")
	build := exec.Command("go", "build", "-o", program, "../../cmd/bramleyspool")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a running process of the system.
type process struct {
	name string
	pid  int
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startProcess starts the program with a limit of open descriptors. Its log is shown if the test fails.
func startProcess(t *testing.T, name string, descriptors int, environment []string, arguments ...string) *process {
	c := qt.New(t)
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	c.Assert(err, qt.IsNil)
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors)
	command := exec.Command("sh", append([]string{"-c", script, program}, arguments...)...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(command.Start(), qt.IsNil)
	p := &process{name: name, pid: command.Process.Pid, exited: make(chan struct{})}
	go func() { _ = command.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("the last lines of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// residentMemory returns the resident memory of the process in bytes.
func (p *process) residentMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("statm has no second field")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(entries), err
}

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// sockets returns the inodes of the open sockets of the process.
func (p *process) sockets() (map[string]bool, error) {
	directory := fmt.Sprintf("/proc/%d/fd", p.pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		// A descriptor that has been closed meanwhile has no link.
		link, _ := os.Readlink(filepath.Join(directory, entry.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// unreadBytes returns what the kernel has received on the TCP connections of the process, and on those to a local IPv4 address that no
// process has accepted, and no process has read yet.
func (p *process) unreadBytes(address string) (int64, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	inodes, err := p.sockets()
	if err != nil {
		return 0, err
	}
	ip := parsed.Addr().As4()
	// The kernel writes the address as a number in the byte order of the machine, which is little-endian here.
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", parsed.Port())
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	var sum int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == tcpListen || fields[1] != local && !inodes[fields[9]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += unread
	}
	return sum, nil
}
