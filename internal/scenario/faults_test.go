package scenario

import (
	"testing"
	"time"
)

// TestPartitionHealedUnderAnotherName: a controller that is partitioned under one name, such as
// leader, and healed under another, such as all, counts as partitioned until the last part of its
// network is healed, and no longer.
func TestPartitionHealedUnderAnotherName(t *testing.T) {
	sim, _ := newIdleSimulation()
	sim.hosts = []*host{{sim: sim, name: "a"}, {sim: sim, name: "b"}}
	execute := func(at time.Duration, verb, arguments string) {
		t.Helper()
		line := parseStatement(verb + " " + arguments)
		do := actions[verb](sim, line)
		if line.err != nil {
			t.Fatal(line.err)
		}
		sim.now = at
		do()
	}
	execute(10*time.Second, "partition", "leader store")
	execute(11*time.Second, "partition", "a peers")
	execute(20*time.Second, "heal", "all store")
	sim.now = 21 * time.Second
	sim.faults.record("one part left", 0)
	execute(22*time.Second, "heal", "all peers")
	sim.now = 23 * time.Second
	sim.faults.record("all healed", 0)
	if sim.faults.overlaps("partition", "one part left") != 1 || sim.faults.overlaps("partition", "all healed") != 0 {
		t.Errorf("spans: %+v", sim.faults.spans)
	}
}

// TestFaultsOverlap: two faults overlap if one begins while the other lasts, even if their ends are
// not known yet. Faults with different keys are counted separately.
func TestFaultsOverlap(t *testing.T) {
	virtualClock := &clock{}
	log := &faultLog{clock: virtualClock}
	log.record("pause", 10)
	virtualClock.now = 11
	log.begin("down", "a")
	log.begin("down", "b")
	virtualClock.now = 20
	log.end("down", "a")
	virtualClock.now = 21
	log.record("election", 0)
	for _, tc := range []struct {
		first, second string
		count         int
	}{
		{"pause", "down", 0},
		{"down", "election", 1},
		{"election", "down", 1},
		{"election", "pause", 0},
		{"down", "down", 2},
		{"down", "outage", 0},
	} {
		if got := log.overlaps(tc.first, tc.second); got != tc.count {
			t.Errorf("%s and %s overlap %d times, want %d", tc.first, tc.second, got, tc.count)
		}
	}
}
