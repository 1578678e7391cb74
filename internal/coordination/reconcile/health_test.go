package reconcile

import (
	"testing"
	"time"
)

// TestQuarantine: the quarantine grows with each consecutive error, up to a limit, and a
// completed task resets the count.
func TestQuarantine(t *testing.T) {
	h := health{}
	for i, want := range []time.Duration{10, 20, 30, 40, 50, 60, 60} {
		h.recordError(time.Hour)
		if until := time.Hour + want*time.Second; h.quarantinedUntil != until || !h.quarantined(until-1) || h.quarantined(until) {
			t.Errorf("error %d: until %s", i+1, h.quarantinedUntil)
		}
		if h.faulty() != (i >= 2) {
			t.Errorf("error %d: faulty %t", i+1, h.faulty())
		}
	}
	h.recordSuccess()
	if h.recordError(time.Hour); h.quarantinedUntil != time.Hour+10*time.Second || h.faulty() {
		t.Errorf("after a completed task: %+v", h)
	}
	if h.recordRejectedStart(2 * time.Hour); h.quarantinedUntil != 2*time.Hour+2*time.Second || h.consecutiveErrors != 1 {
		t.Errorf("after a rejected start: %+v", h)
	}
}

// TestSlowMachine: run times are compared with those of the same job, and a machine counts as
// slow only after four comparisons.
func TestSlowMachine(t *testing.T) {
	job := runTimes{}
	fast, slow := health{}, health{}
	for range 2 {
		fast.recordRunTime(&job, 10)
	}
	if fast.runTimeSamples != 0 {
		t.Errorf("%d comparisons without reference run times", fast.runTimeSamples)
	}
	for i := range 4 {
		if slow.slow() {
			t.Errorf("slow after %d comparisons", i)
		}
		slow.recordRunTime(&runTimes{count: 2, seconds: 20}, 30)
		fast.recordRunTime(&job, 10)
	}
	if !slow.slow() || !slow.faulty() || fast.slow() {
		t.Errorf("slow: %+v, fast: %+v", slow, fast)
	}
}

// TestFailureRecord: failures on the first two machines may be the machines' fault; once a
// third has failed, failures are attributed to the job. Each failure doubles the backoff, up
// to a limit.
func TestFailureRecord(t *testing.T) {
	f := failureRecord{}
	for _, c := range []struct {
		machine        string
		machineAtFault bool
		backoff        time.Duration
	}{
		{"m-1", true, 500 * time.Millisecond},
		{"m-1", true, time.Second},
		{"m-2", true, 2 * time.Second},
		{"m-3", false, 4 * time.Second},
		{"m-1", false, 8 * time.Second},
		{"m-1", false, 16 * time.Second},
		{"m-1", false, 16 * time.Second},
	} {
		if machineAtFault := f.add(c.machine); machineAtFault != c.machineAtFault || f.backoff() != c.backoff {
			t.Errorf("failure %d on %s: machine at fault %t, backoff %s", f.count, c.machine, machineAtFault, f.backoff())
		}
	}
}
