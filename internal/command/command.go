// Package command is the command line of filbertstall.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command is a file of its own with a struct whose tags are its flags.
// Exit codes: 0 done, 1 the command found a fault, 2 the command line is wrong,
// 3 the plan was refused because its ground moved or it is over, 4 the plan is
// confirmed and goes on, but was not done within the time to wait.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of the program.
const (
	ExitDone    = 0
	ExitFault   = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitNotDone = 4
)

// output is where commands print.
type output struct {
	out io.Writer
	err io.Writer
}

// entry is one command of the program.
type entry struct {
	name, short string
	command     any
}

func commands(ou output) []entry {
	ac := access{output: ou}
	return []entry{
		{"serve", "Run an entry instance", &serve{output: ou}},
		{"gateway", "Run an instance on the users' platform", &gateway{output: ou}},
		{"check", "Check a settings file", &check{output: ou}},
		{"plan", "Show what an intent will change, and keep the plan", &makePlan{access: ac}},
		{"confirm", "Apply a plan, unless its ground moved", &confirm{access: ac}},
		{"cancel", "Give up a plan", &cancel{access: ac}},
		{"status", "Show instances, zones, capacity and running plans", &status{access: ac}},
		{"get", "Show objects of a kind", &get{access: ac}},
		{"trace", "Show what logs say of a request of a gateway", &trace{output: ou}},
		{"losses", "Count what became of generations by logs of gateways", &losses{output: ou}},
		{"explain", "Show what was decided about a request", &explain{access: ac}},
		{"completion", "Print a script for shell completion", &completion{output: ou}},
	}
}

// root holds the flags that go before a command.
type root struct {
	Version func() error `long:"version" description:"Print the version and exit"`
}

// errVersion ends the parse behind --version.
var errVersion = errors.New("version printed")

// fault is an error that the user is shown without usage.
type fault struct{ err error }

// Error implements error.
func (fa fault) Error() string { return fa.err.Error() }

// Unwrap returns the cause.
func (fa fault) Unwrap() error { return fa.err }

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ro := root{Version: func() error {
		_, _ = fmt.Fprintln(out, "filbertstall", Version)
		return errVersion
	}}
	parser := flags.NewNamedParser("filbertstall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &ro); err != nil {
		return report(err, out, errOut)
	}
	for _, en := range commands(output{out: out, err: errOut}) {
		if _, err := parser.AddCommand(en.name, en.short, en.short+".", en.command); err != nil {
			return report(err, out, errOut)
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

func report(err error, out, errOut io.Writer) int {
	var flagErr *flags.Error
	var refused conflictError
	var notDone notDoneError
	switch {
	case err == nil, errors.Is(err, errVersion):
		return ExitDone
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return ExitDone
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintln(errOut, "filbertstall:", flagErr.Message)
		return ExitUsage
	case errors.As(err, &refused):
		_, _ = fmt.Fprintln(errOut, refused)
		return ExitRefused
	case errors.As(err, &notDone):
		_, _ = fmt.Fprintln(errOut, notDone)
		return ExitNotDone
	default:
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFault
	}
}
