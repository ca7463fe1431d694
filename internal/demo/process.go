// Package demo runs the system's programs as child processes against a
// stand-in platform, sends load and faults, and judges the system from outside:
// by what workers, runners, callers and operators saw.
package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endWait is how long a process may take for a graceful shutdown.
const endWait = 15 * time.Second

// process is a child process. Its methods may be called concurrently.
type process struct {
	name string
	args []string
	logs string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the program. Its output goes to a file in the logs' directory.
func (p *process) start(bin string) error {
	out, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.WithStack(err)
	}
	defer out.Close()
	cmd := exec.Command(bin, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

// signal sends a signal to the process, by its id, if it lives.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(endWait)
}

// stop asks for a graceful shutdown and reports whether it came in time.
func (p *process) stop() bool {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if p.wait(endWait) {
		return true
	}
	p.kill()
	return false
}

func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// Listening ports are taken from below those that the system gives to outgoing
// connections, which could take the port of a program that is being restarted.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports gives out loopback addresses, each once.
type ports struct{ given map[int]bool }

// next returns an address that nothing listens on now.
func (p *ports) next() (string, error) {
	for range lastPort - firstPort {
		n := firstPort + rand.IntN(lastPort-firstPort)
		if p.given[n] {
			continue
		}
		p.given[n] = true
		addr := fmt.Sprintf("127.0.0.1:%d", n)
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, errors.WithStack(l.Close())
		}
	}
	return "", errors.New("no free port")
}
