package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Listen catches the signals of a process that serves requests, until the process
// exits. The context is canceled on the first SIGTERM or SIGINT; later ones have no
// effect. The channel receives SIGHUP, which asks for a reload of the settings, in
// every state of the process. It holds one reload: further ones that come before the
// first is received are merged with it. SIGPIPE is ignored: if the reader of the
// standard output or standard error has closed it, a write fails, and the process goes on.
func Listen() (stop context.Context, reloads <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		<-stops
		cancel()
	}()
	return ctx, hangups
}

// UntilInterrupted returns a context that is canceled when a user interrupts a command
// or closes its terminal, so that the command can stop what it has started. The
// function that it returns gives the signals their default action back.
func UntilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
}

// IgnoreHangups makes SIGHUP and SIGPIPE have no effect on a process that has no
// settings to reload.
func IgnoreHangups() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }
