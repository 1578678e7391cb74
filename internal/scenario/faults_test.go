package scenario

import (
	"testing"
	"time"
)

// TestPartitionEndsByAnyName: a controller that was cut off under one name and healed
// under another counts as partitioned exactly until then.
func TestPartitionEndsByAnyName(t *testing.T) {
	sim, _ := idleWorld()
	sim.hosts = []*host{{sim: sim, name: "a"}, {sim: sim, name: "b"}}
	play := func(at time.Duration, verb, what string) {
		t.Helper()
		line := parseStatement(verb + " " + what)
		do := actions[verb](sim, line)
		if line.err != nil {
			t.Fatal(line.err)
		}
		sim.now = at
		do()
	}
	play(10*time.Second, "partition", "leader store")
	play(11*time.Second, "partition", "a peers")
	play(20*time.Second, "heal", "all store")
	sim.now = 21 * time.Second
	sim.faults.note("while one part is cut", 0)
	play(22*time.Second, "heal", "all peers")
	sim.now = 23 * time.Second
	sim.faults.note("after it", 0)
	if sim.faults.overlaps("partition", "while one part is cut") != 1 || sim.faults.overlaps("partition", "after it") != 0 {
		t.Errorf("spans: %+v", sim.faults.spans)
	}
}

// TestFaultsOverlap: two faults overlap when one lasts as the other begins, also while
// their ends are not known, and each key is a fault of its own.
func TestFaultsOverlap(t *testing.T) {
	virtual := &clock{}
	log := &faultLog{clock: virtual}
	log.note("pause", 10)
	virtual.now = 11
	log.begin("down", "a")
	log.begin("down", "b")
	virtual.now = 20
	log.end("down", "a")
	virtual.now = 21
	log.note("election", 0)
	for _, c := range []struct {
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
		if got := log.overlaps(c.first, c.second); got != c.count {
			t.Errorf("%s and %s overlap %d times, want %d", c.first, c.second, got, c.count)
		}
	}
}
