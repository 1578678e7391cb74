package provisioning

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestOversizedGroupIsSplit drains a machine of a group that exceeds lowered limits. The write
// that records the drain must split the group. Every machine must be in exactly one group,
// with an unchanged fencing token, so that the holder does not have to fence the agents again.
func TestOversizedGroupIsSplit(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		l := newTestLeader(t)
		writer := l.provisioner.writer
		l.put(storage.MachineGroupKey("large"), largeGroup(machines))
		l.lowerStoreLimits(2048, 3, 12)
		draining := l.machine(machineName(5020))
		writer.reset()
		writer.setPhase(draining, storage.PhaseDraining, "idle")
		writer.flush(l.now)
		if len(l.transactions) != 1 {
			t.Fatalf("%d transactions", len(l.transactions))
		}
		l.applyTransactions()
		groups := map[string]int{}
		for i, entry := range largeGroup(machines).Machines {
			m := l.machine(machineName(5000 + i))
			groups[m.Group]++
			if (m.Phase == storage.PhaseDraining) != (m == draining) {
				t.Errorf("machine %s is in phase %s", m.Name, m.Phase)
			}
			if m.FencingToken != testGrantToken || m.Shard != 0 || m.Address != entry.Address {
				t.Errorf("machine %s changed in the split: token %x, shard %d, address %s", m.Name, m.FencingToken, m.Shard, m.Address)
			}
		}
		if len(groups) < 3 || groups[""] > 0 {
			t.Errorf("machines by group: %v", groups)
		}
	}
}

// TestMovesFromOversizedGroup moves machines of an oversized group to another job shard. If
// the split and the move exceed the operations of a transaction, the group must be split
// first.
func TestMovesFromOversizedGroup(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		parts    int // groups left in the shard after the first write
	}{
		{"remainder fits", 60, 1},
		{"split before the move", 90, 3},
	} {
		l := newTestLeader(t)
		l.put(storage.MachineGroupKey("large"), largeGroup(c.machines))
		l.lowerStoreLimits(2048, 3, 12)
		for round := range 10 {
			l.moveMachines(30, 1)
			if left := groupsInShard(l, 0); round == 0 && left != c.parts {
				t.Errorf("%s: %d groups after the first write, want %d", c.name, left, c.parts)
			}
		}
		moved := 0
		for i := range c.machines {
			if m := l.machine(machineName(5000 + i)); m.Shard == 1 && m.Group != "" {
				moved++
			}
		}
		if moved != 30 {
			t.Errorf("%s: %d machines moved, want 30", c.name, moved)
		}
	}
}

// moveMachines runs the moves of one tick for those of the first count machines of a large
// group that are still in the batch shard.
func (l *testLeader) moveMachines(count, toShard int) {
	l.t.Helper()
	l.now += time.Second
	p := l.provisioner
	p.writer.reset()
	p.moves.reset()
	for i := range count {
		if m := l.machine(machineName(5000 + i)); m.Shard == storage.BatchShard {
			p.moves.add(m, toShard)
		}
	}
	p.moves.write()
	l.applyTransactions()
}

// groupsInShard counts the nonempty groups of a shard.
func groupsInShard(l *testLeader, shard int) int {
	count := 0
	for _, group := range l.replica.View.MachineGroups {
		if group.Shard == shard && len(group.Machines) > 0 {
			count++
		}
	}
	return count
}

// TestOversizedGroupsAreCounted checks that a group counts as oversized only while its record
// exceeds the limit.
func TestOversizedGroupsAreCounted(t *testing.T) {
	l := newTestLeader(t)
	l.lowerStoreLimits(2048, 8, 100)
	l.put(storage.MachineGroupKey("large"), largeGroup(60))
	l.put(storage.MachineGroupKey("small"), largeGroup(2))
	if got := l.provisioner.OversizedGroups(); got != 1 {
		t.Errorf("%d oversized groups, want 1", got)
	}
	l.put(storage.MachineGroupKey("large"), largeGroup(3))
	if got := l.provisioner.OversizedGroups(); got != 0 {
		t.Errorf("%d oversized groups after the large group was rewritten with fewer machines, want 0", got)
	}
}

// TestEmptyGroupIsRetainedUntilLaterTerm checks that an empty group is retained for the rest
// of its term. A delayed duplicate of the transaction that created the group must find the key
// in existence while the same leader is in office. Otherwise it would recreate the group with
// machines that have since moved to other groups.
func TestEmptyGroupIsRetainedUntilLaterTerm(t *testing.T) {
	l := newTestLeader(t)
	empty := storage.MachineGroupRecord{FencingToken: l.NextFencingToken()}
	if op := l.provisioner.writer.writeOperation("x", empty); op.Delete != "" {
		t.Error("empty group of the current term is deleted")
	}
	empty.FencingToken = testGrantToken // of the previous term
	if op := l.provisioner.writer.writeOperation("x", empty); op.Delete == "" {
		t.Error("empty group of an earlier term is retained")
	}
}

// TestGroupWriteWaitsForView checks that the next write of a group waits until the view shows
// the last one.
func TestGroupWriteWaitsForView(t *testing.T) {
	l := newTestLeader(t)
	writer := l.provisioner.writer
	l.putGroup("b", storage.MachineEntry{Name: "m-1"}, storage.MachineEntry{Name: "m-2"})
	drain := func(name string) {
		writer.reset()
		writer.setPhase(l.machine(name), storage.PhaseDraining, "idle")
		writer.flush(l.now)
	}
	drain("m-1")
	if !writer.pending(l.machine("m-2")) {
		t.Error("another machine of the group is not pending while the write is in flight")
	}
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d transactions while one is in flight", len(l.transactions))
	}
	l.callbacks[0](l.revision+1, nil) // answered before the view shows the write
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d transactions before the view shows the first write", len(l.transactions))
	}
	l.callbacks[0] = func(uint64, error) {}
	l.applyTransactions()
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d new transactions after the view shows the first write, want 1", len(l.transactions))
	}
}

// TestUnrecordedMachinesAreGrouped checks that machines without a record are grouped by type,
// zone and market, and that each is recorded once.
func TestUnrecordedMachinesAreGrouped(t *testing.T) {
	l := newTestLeader(t)
	adoptions := l.provisioner.adoptions
	for i, zone := range []string{"z", "z", "y", "z"} {
		adoptions.adopt(fmt.Sprintf("m-%d", i), unrecordedMachine{address: "w", machineType: "small", zone: zone})
	}
	for range 3 {
		adoptions.write()
		adoptions.adopt("m-0", unrecordedMachine{machineType: "small", zone: "z"})
	}
	if len(l.transactions) != 3 {
		t.Fatalf("%d transactions, want one for each of three runs of the same pool", len(l.transactions))
	}
	l.applyTransactions()
	adoptions.write()
	if m := l.machine("m-0"); m.Group == "" || m.Group != l.machine("m-1").Group || m.Group == l.machine("m-2").Group {
		t.Errorf("machines m-0, m-1 and m-2 are in groups %s, %s and %s", m.Group, l.machine("m-1").Group, l.machine("m-2").Group)
	}
	if len(adoptions.groups)+len(adoptions.machines) > 0 {
		t.Errorf("%d groups of %d machines are still unrecorded", len(adoptions.groups), len(adoptions.machines))
	}
}
