// Package command implements the command line of filbertstall.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command is a struct whose tags declare its flags. The exit codes are:
//
//   - 0: the command succeeded.
//   - 1: the command failed.
//   - 2: the command line is invalid.
//   - 3: the plan was refused because the configuration that it is based on has
//     changed, because another plan holds one of its objects, or because the plan
//     has ended.
//   - 4: the plan is confirmed and is still being applied, but was not done within
//     the time to wait.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of the program. The package comment describes them.
const (
	ExitDone    = 0
	ExitFailure = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitNotDone = 4
)

// output holds the streams that commands print to.
type output struct {
	out io.Writer
	err io.Writer
}

// commandSpec is the name, the description and the options struct of one command.
type commandSpec struct {
	name, short string
	command     any
}

func commands(ou output) []commandSpec {
	ac := operatorAccess{output: ou}
	return []commandSpec{
		{"serve", "Run an entry instance", &serve{output: ou}},
		{"gateway", "Run an instance on the users' platform", &gateway{output: ou}},
		{"check", "Check a settings file", &check{output: ou}},
		{"plan", "Show what an intent will change, and keep the plan", &makePlan{operatorAccess: ac}},
		{"confirm", "Apply a plan, unless its ground moved", &confirm{operatorAccess: ac}},
		{"cancel", "Give up a plan", &cancel{operatorAccess: ac}},
		{"status", "Show instances, zones, capacity and running plans", &status{operatorAccess: ac}},
		{"get", "Show objects of a kind", &get{operatorAccess: ac}},
		{"trace", "Show what logs say of a request of a gateway", &trace{output: ou}},
		{"losses", "Count what became of generations by logs of gateways", &losses{output: ou}},
		{"explain", "Show what was decided about a request", &explain{operatorAccess: ac}},
		{"completion", "Print a script for shell completion", &completion{output: ou}},
	}
}

// globalFlags holds the flags that precede the command.
type globalFlags struct {
	Version func() error `long:"version" description:"Print the version and exit"`
}

// errVersion ends the parsing of the command line after --version was handled.
var errVersion = errors.New("version printed")

// commandError is a failure of a command, which is shown without usage information.
type commandError struct{ err error }

// Error implements error.
func (ce commandError) Error() string { return ce.err.Error() }

// Unwrap returns the cause.
func (ce commandError) Unwrap() error { return ce.err }

// Run parses args, runs the command and returns the exit code. It writes results to
// out and errors to errOut.
func Run(args []string, out, errOut io.Writer) int {
	gf := globalFlags{Version: func() error {
		_, _ = fmt.Fprintln(out, "filbertstall", Version)
		return errVersion
	}}
	parser := flags.NewNamedParser("filbertstall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &gf); err != nil {
		return exitCode(err, out, errOut)
	}
	for _, cs := range commands(output{out: out, err: errOut}) {
		if _, err := parser.AddCommand(cs.name, cs.short, cs.short+".", cs.command); err != nil {
			return exitCode(err, out, errOut)
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

// exitCode prints an error, if there is one, and returns its exit code.
func exitCode(err error, out, errOut io.Writer) int {
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
		return ExitFailure
	}
}
