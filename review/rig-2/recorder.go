package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes record.txt and collects broken rules.
type Recorder struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken map[string]int
}

func newRecorder(path string) *Recorder {
	f, err := os.Create(path)
	must(err)
	return &Recorder{file: f, began: time.Now(), broken: map[string]int{}}
}

// Log writes a line with the time since the start.
func (r *Recorder) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Broken notes a broken rule.
func (r *Recorder) Broken(rule, format string, args ...any) {
	r.Log("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	r.mu.Lock()
	r.broken[rule]++
	r.mu.Unlock()
}

// Count returns how often a rule was broken.
func (r *Recorder) Count(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken[rule]
}
