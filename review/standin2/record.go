package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begun: time.Now()}, nil
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The verdict does not depend on the file.
	_ = r.out.Flush()
	_ = r.file.Close()
}
