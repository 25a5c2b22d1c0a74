package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	// stopTimeout is how long a process may take to shut down before it is
	// killed.
	stopTimeout = 15 * time.Second
)

// Process is a program that was started and is ready.
type Process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited. The exit status is then in err.
	done chan struct{}
	err  error
}

// startProcess starts a program, waits for the JSON line that it prints when it is
// ready, and decodes the line into ready. Its standard error goes to name.log in
// dir.
func startProcess(ctx context.Context, dir, name, program string, args []string, ready any) (*Process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stderr = logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := make(chan []byte, 1)
	pr := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		line, _ := bufio.NewReader(out).ReadBytes('\n')
		lines <- line
		pr.err = cmd.Wait()
		close(pr.done)
	}()
	select {
	case line := <-lines:
		err = json.Unmarshal(line, ready)
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(startTimeout):
		err = fmt.Errorf("not ready after %v", startTimeout)
	}
	if err != nil {
		pr.Kill()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return pr, nil
}

// Kill sends SIGKILL and waits until the process has exited.
func (pr *Process) Kill() {
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

// Terminate sends SIGTERM and waits until the process has exited. It returns an
// error if the exit code is not 0 or the process was killed after stopTimeout.
func (pr *Process) Terminate() error {
	_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-pr.done:
		return pr.err
	case <-time.After(stopTimeout):
		pr.Kill()
		return fmt.Errorf("process %d did not stop within %v", pr.cmd.Process.Pid, stopTimeout)
	}
}

// Pause suspends the process with SIGSTOP until Continue is called.
func (pr *Process) Pause() error { return pr.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (pr *Process) Continue() error { return pr.cmd.Process.Signal(syscall.SIGCONT) }
