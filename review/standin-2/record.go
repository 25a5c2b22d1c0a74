package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: file, begin: time.Now()}
}

func (rc *record) line(format string, args ...any) { rc.lineAt(time.Now(), format, args...) }

func (rc *record) lineAt(at time.Time, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.file, "%8.3f s  %s\n", at.Sub(rc.begin).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line that is printed, too.
func (rc *record) say(format string, args ...any) {
	rc.line(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(rc.begin).Seconds(), fmt.Sprintf(format, args...))
}

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotToRun = 2
)

// fail ends the program because the case could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(exitNotToRun)
}
