package reconcile

import (
	"testing"
	"time"
)

// TestUnresponsive: an agent is unresponsive once it has not shown the probe for longer
// than the patience, in a heartbeat that waits for its answer; one that has just come up
// has its patience from its first heartbeat.
func TestUnresponsive(t *testing.T) {
	const patience = 10 * time.Second
	for _, c := range []struct {
		name          string
		shown         uint64
		awaitsAnswer  bool
		now, heardFor time.Duration
		suspect, want bool
	}{
		{"shows the token", 100, true, time.Minute, time.Minute, false, false},
		{"within the patience", 99, true, patience, patience, true, false},
		{"after the patience", 99, true, patience + 1, patience + 1, true, true},
		{"answers a command", 99, false, time.Minute, time.Minute, true, false},
		{"has just come up", 99, true, time.Minute, patience, true, false},
	} {
		f := newFence(100)
		r := reachability{}
		r.begin(&f, 0)
		if became := r.observe(&f, c.shown, c.awaitsAnswer, c.now, c.heardFor, patience); became != c.want || r.unresponsive != c.want || r.suspect != c.suspect {
			t.Errorf("%s: %+v", c.name, r)
		}
	}
}

// TestProbe: an agent in doubt is probed under a higher token, once until it has shown it,
// and again only after a pause.
func TestProbe(t *testing.T) {
	const pause = 30 * time.Second
	f := newFence(100)
	r := reachability{}
	r.begin(&f, 0)
	for _, step := range []struct {
		name  string
		shown uint64
		at    time.Duration
		want  uint64
	}{
		{"not fenced yet", 99, time.Second, 100},
		{"in doubt", 100, 2 * time.Second, 101},
		{"the probe is under way", 100, time.Minute, 101},
		{"shown within the pause", 101, 3 * time.Second, 101},
		{"shown after the pause", 101, 2*time.Second + pause + 1, 102},
	} {
		f.observe(step.shown)
		r.probe(&f, step.shown, step.at, pause)
		if r.probeToken != step.want || f.current != step.want {
			t.Errorf("%s: probe %d, token %d", step.name, r.probeToken, f.current)
		}
	}
	f.regrant(200)
	if r.begin(&f, time.Minute); r.probeToken != 200 || r.probedAt != time.Minute {
		t.Errorf("a new grant: %+v", r)
	}
}
