package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestMassDrainWritesAreBatched drains hundreds of machines at once. The writes of their
// groups must share transactions, and each transaction must stay within the limits of the
// key-value store.
func TestMassDrainWritesAreBatched(t *testing.T) {
	const drainedMachines = 400
	l := newFleetLeader(t, largeFleet)
	writer := l.provisioner.writer
	writer.reset()
	for i := range drainedMachines {
		writer.setPhase(l.machine(machineName(i)), storage.PhaseDraining, "idle")
	}
	operations := 0
	for range drainedMachines {
		l.now += l.committer.Budget.TimeUntil(maxGroupOperations)
		writer.flush(l.now)
	}
	for _, transaction := range l.transactions {
		l.checkLimits(transaction)
		operations += len(transaction.Operations)
	}
	if groups := drainedMachines / fleetGroupSize; operations != groups || len(l.transactions) > (groups+maxGroupOperations-1)/maxGroupOperations {
		t.Errorf("%d operations in %d transactions for %d groups", operations, len(l.transactions), groups)
	}
}

// TestCycleAllocationsGrowLinearly checks that the allocations of a cycle grow no faster than
// the fleet.
func TestCycleAllocationsGrowLinearly(t *testing.T) {
	perMachine := func(machines int) float64 {
		l := newFleetLeader(t, machines)
		l.putBlockedJob()
		return testing.AllocsPerRun(5, func() { l.provisioner.runCycle(l.now) }) / float64(machines)
	}
	small, large := perMachine(mediumFleet), perMachine(largeFleet)
	t.Logf("%.2f and %.2f allocations per machine", small, large)
	if large > 1.1*small || large > 4 {
		t.Errorf("%v allocations per machine with %d machines, %v with %d", small, mediumFleet, large, largeFleet)
	}
}

// TestListInterval checks that lists of thousands of machines leave half of the allowed cloud
// calls to creations and deletions, and that small fleets are listed at the minimum interval.
func TestListInterval(t *testing.T) {
	for _, c := range []struct {
		name           string
		machines       int
		callsPerSecond float64
		want           time.Duration
	}{
		{"no machines", 0, 4, minListInterval},
		{"3 calls per list, 4 calls per second", 1450, 4, minListInterval},
		{"5 calls per list, 10 calls per second", 2050, 10, minListInterval},
		{"9 calls per list, 4 calls per second", largeFleet, 4, 4500 * time.Millisecond},
		{"9 calls per list, 1 call per second", largeFleet, 1, 18 * time.Second},
	} {
		if got := listInterval(c.machines, c.callsPerSecond); got != c.want {
			t.Errorf("%s: %d machines, %g calls per second: got %s, want %s", c.name, c.machines, c.callsPerSecond, got, c.want)
		}
	}
}

// BenchmarkCycle measures a cycle over a fleet with blocked tasks.
func BenchmarkCycle(b *testing.B) {
	l := newFleetLeader(b, mediumFleet)
	l.putBlockedJob()
	b.ReportAllocs()
	for b.Loop() {
		l.provisioner.runCycle(l.now)
	}
}
