// Command standin-3 plays the cases of the third review: it starts gateways of the project as
// processes, with stand-ins for clients, replicas and the platform.
//
// # Usage
//
//	standin-3 case NAME RECORD   # from the root of the repository; TROUBLE=0 leaves the disruption out
//	standin-3 replica SETTINGS   # used by the cases
//
// The exit status of a case is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

const (
	held    = 0
	broken  = 1
	noCase  = 2
	minArgs = 3
)

// play plays a case and returns whether the rule held.
type play func(de *deployment, trouble bool) (bool, error)

// cases has all cases by name.
var cases = map[string]play{
	"heads":   headsCase,
	"inside":  insideCase,
	"resume":  resumeCase,
	"readers": readersCase,
	"timeout": timeoutCase,
	"unread":  unreadCase,
}

func main() {
	if len(os.Args) < minArgs {
		fmt.Fprintln(os.Stderr, "usage: standin-3 case NAME RECORD | replica SETTINGS")
		os.Exit(noCase)
	}
	if os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, runReplica(os.Args[2]))
		os.Exit(noCase)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

// runCase plays a case and returns the exit status.
func runCase(name, path string) int {
	rc, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	pl, known := cases[name]
	if !known {
		rc.note("no such case: %s", name)
		return noCase
	}
	de, err := newDeployment(rc)
	if err != nil {
		rc.note("the deployment did not start: %v", err)
		return noCase
	}
	defer de.close()
	ok, err := pl(de, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rc.note("the case could not run: %v", err)
		return noCase
	case ok:
		rc.note("result: the rule held")
		return held
	default:
		rc.note("result: the rule was broken")
		return broken
	}
}
