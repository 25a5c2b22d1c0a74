package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	lines []line
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// note writes a line.
func (rc *record) note(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.file, "%7d ms  %s\n", time.Since(rc.begun).Milliseconds(), fmt.Sprintf(format, args...))
}

// follow writes what a replica says.
func (rc *record) follow(rd *bufio.Reader) {
	for {
		text, err := rd.ReadBytes('\n')
		if err != nil {
			return
		}
		var li line
		if json.Unmarshal(text, &li) != nil {
			continue
		}
		rc.mu.Lock()
		rc.lines = append(rc.lines, li)
		rc.mu.Unlock()
		detail := li.Detail
		if len(li.Fields) > 0 {
			fields, _ := json.Marshal(li.Fields)
			detail += string(fields)
		}
		rc.note("replica %s: %s %s %s", li.Replica, li.What, li.Request, detail)
	}
}

// said returns the lines of replicas about a request.
func (rc *record) said(what, request string) []line {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var list []line
	for _, li := range rc.lines {
		if li.What == what && li.Request == request {
			list = append(list, li)
		}
	}
	return list
}
