// Command review-2 plays the scripted cases of the second review: it starts the project's own
// gateways as processes, with stand-ins of the platform's store, of replicas and of clients.
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if it couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rc *record, trouble bool) (broken bool){
	"foreign-entry":   foreignEntry,
	"silent-channels": silentChannels,
	"last-tenant":     lastTenant,
	"crashing-part":   crashingPart,
	"crowd":           crowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotToRun)
	}
	rc := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	prepare()
	rc.say("case %s, trouble: %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](rc, trouble)
	stopAll()
	if broken {
		rc.say("the rule was broken")
		os.Exit(exitBroken)
	}
	rc.say("the rule held")
	os.Exit(exitHeld)
}
