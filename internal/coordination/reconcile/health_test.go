package reconcile

import (
	"testing"
	"time"
)

// TestQuarantine: a machine takes no tasks for longer after each error in a row, up to a
// bound, and a task that is done begins the row anew.
func TestQuarantine(t *testing.T) {
	h := health{}
	for i, want := range []time.Duration{10, 20, 30, 40, 50, 60, 60} {
		h.noteError(time.Hour)
		if until := time.Hour + want*time.Second; h.quarantinedUntil != until || !h.quarantined(until-1) || h.quarantined(until) {
			t.Errorf("error %d: until %s", i+1, h.quarantinedUntil)
		}
		if h.faulty() != (i >= 2) {
			t.Errorf("error %d: faulty %t", i+1, h.faulty())
		}
	}
	h.noteDone()
	if h.noteError(time.Hour); h.quarantinedUntil != time.Hour+10*time.Second || h.faulty() {
		t.Errorf("after one was done: %+v", h)
	}
	if h.noteRefusal(2 * time.Hour); h.quarantinedUntil != 2*time.Hour+2*time.Second || h.consecutiveErrors != 1 {
		t.Errorf("after a refusal: %+v", h)
	}
}

// TestSlowMachine: run times are compared with those of the same job, and four comparisons
// are needed before a machine counts as slow.
func TestSlowMachine(t *testing.T) {
	job := runTimes{}
	fast, slow := health{}, health{}
	for range 2 {
		fast.noteRunTime(&job, 10)
	}
	if fast.runTimeSamples != 0 {
		t.Errorf("%d comparisons with nothing to compare with", fast.runTimeSamples)
	}
	for i := range 4 {
		if slow.slow() {
			t.Errorf("slow after %d comparisons", i)
		}
		slow.noteRunTime(&runTimes{count: 2, seconds: 20}, 30)
		fast.noteRunTime(&job, 10)
	}
	if !slow.slow() || !slow.faulty() || fast.slow() {
		t.Errorf("slow: %+v, fast: %+v", slow, fast)
	}
}

// TestFailureRecord: failures on two machines may be the machines' fault, those on a third
// are the job's; each doubles the pause, up to a bound.
func TestFailureRecord(t *testing.T) {
	f := failureRecord{}
	for _, c := range []struct {
		machine string
		blames  bool
		backoff time.Duration
	}{
		{"m-1", true, 500 * time.Millisecond},
		{"m-1", true, time.Second},
		{"m-2", true, 2 * time.Second},
		{"m-3", false, 4 * time.Second},
		{"m-1", false, 8 * time.Second},
		{"m-1", false, 16 * time.Second},
		{"m-1", false, 16 * time.Second},
	} {
		if blames := f.note(c.machine); blames != c.blames || f.backoff() != c.backoff {
			t.Errorf("failure %d on %s: blames it %t, pause %s", f.count, c.machine, blames, f.backoff())
		}
	}
}
