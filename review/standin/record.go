package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the
// seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// logf writes one line.
func (re *record) logf(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(re.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = re.file.WriteString(line)
}

// at returns a moment in the form of the record.
func (re *record) at(moment time.Time) string {
	return fmt.Sprintf("%.3f", moment.Sub(re.begun).Seconds())
}
