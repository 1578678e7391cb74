package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestDrainsOfHundreds: hundreds of machines leave at once. Their groups share writes, and
// a transaction stays within what the key-value store allows.
func TestDrainsOfHundreds(t *testing.T) {
	const leaving = 400
	l := newFleetLeader(t, largeFleet)
	writer := l.provisioner.writer
	writer.begin()
	for i := range leaving {
		writer.setPhase(l.machine(machineName(i)), storage.PhaseDraining, "idle")
	}
	changes := 0
	for range leaving {
		l.now += l.committer.Budget.TimeUntil(maxGroupOperations)
		writer.flush(l.now)
	}
	for _, transaction := range l.transactions {
		l.withinLimits(transaction)
		changes += len(transaction.Operations)
	}
	if groups := leaving / fleetGroupSize; changes != groups || len(l.transactions) > (groups+maxGroupOperations-1)/maxGroupOperations {
		t.Errorf("%d changes in %d transactions for %d groups", changes, len(l.transactions), groups)
	}
}

// TestCycleOfFourThousand: what a cycle allocates grows no faster than the fleet.
func TestCycleOfFourThousand(t *testing.T) {
	perMachine := func(machines int) float64 {
		l := newFleetLeader(t, machines)
		l.putWaitingJob()
		return testing.AllocsPerRun(5, func() { l.provisioner.runCycle(l.now) }) / float64(machines)
	}
	small, large := perMachine(mediumFleet), perMachine(largeFleet)
	t.Logf("%.2f and %.2f allocations for each machine", small, large)
	if large > 1.1*small || large > 4 {
		t.Errorf("%v allocations for each of %d machines, %v for each of %d", small, mediumFleet, large, largeFleet)
	}
}

// TestListPause: lists of thousands of machines leave half of the cloud's calls to
// creations and deletions; those of small fleets come as often as before.
func TestListPause(t *testing.T) {
	for _, c := range []struct {
		name           string
		machines       int
		callsPerSecond float64
		want           time.Duration
	}{
		{"nothing there", 0, 4, minListInterval},
		{"three calls of four a second", 1450, 4, minListInterval},
		{"five calls of ten a second", 2050, 10, minListInterval},
		{"nine calls of four a second", largeFleet, 4, 4500 * time.Millisecond},
		{"nine calls of one a second", largeFleet, 1, 18 * time.Second},
	} {
		if got := listInterval(c.machines, c.callsPerSecond); got != c.want {
			t.Errorf("%s: %d machines, %g calls a second: %s, not %s", c.name, c.machines, c.callsPerSecond, got, c.want)
		}
	}
}

// BenchmarkCycle is a cycle over a fleet on which work waits.
func BenchmarkCycle(b *testing.B) {
	l := newFleetLeader(b, mediumFleet)
	l.putWaitingJob()
	b.ReportAllocs()
	for b.Loop() {
		l.provisioner.runCycle(l.now)
	}
}
