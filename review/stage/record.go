package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run, with the time since its start.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	startedAt time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A record that cannot be written changes nothing in the result.
	_ = r.writer.Flush()
	_ = r.file.Close()
}
