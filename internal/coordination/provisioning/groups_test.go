package provisioning

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestOversizedGroupIsSplit: a machine of a group that is too large by now drains. The very
// write that records it splits the group; every machine stays in just one, under the
// fencing token of before, so that its holder has nothing to show anew.
func TestOversizedGroupIsSplit(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		l := newTestLeader(t)
		writer := l.provisioner.writer
		l.put(storage.MachineGroupKey("large"), largeGroup(machines))
		l.limitStore(2048, 3, 12)
		leaving := l.machine(machineName(5020))
		writer.begin()
		writer.setPhase(leaving, storage.PhaseDraining, "idle")
		writer.flush(l.now)
		if len(l.transactions) != 1 {
			t.Fatalf("%d transactions", len(l.transactions))
		}
		l.applyTransactions()
		groups := map[string]int{}
		for i, entry := range largeGroup(machines).Machines {
			m := l.machine(machineName(5000 + i))
			groups[m.Group]++
			if (m.Phase == storage.PhaseDraining) != (m == leaving) {
				t.Errorf("%s is in phase %s", m.Name, m.Phase)
			}
			if m.FencingToken != testGrantToken || m.Shard != 0 || m.Address != entry.Address {
				t.Errorf("%s must be held anew: token %x, shard %d, address %s", m.Name, m.FencingToken, m.Shard, m.Address)
			}
		}
		if len(groups) < 3 || groups[""] > 0 {
			t.Errorf("machines by group: %v", groups)
		}
	}
}

// TestOversizedGroupMoves: machines leave a group that is too large for another job shard;
// where that is more than a transaction takes, the group is split first.
func TestOversizedGroupMoves(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		parts    int // of the group, once it is first written
	}{
		{"what is left fits", 60, 1},
		{"it is split before anything moves", 90, 3},
	} {
		l := newTestLeader(t)
		l.put(storage.MachineGroupKey("large"), largeGroup(c.machines))
		l.limitStore(2048, 3, 12)
		for round := range 10 {
			l.moveMachines(30, 1)
			if left := groupsInShard(l, 0); round == 0 && left != c.parts {
				t.Errorf("%s: %d groups after the first write", c.name, left)
			}
		}
		moved := 0
		for i := range c.machines {
			if m := l.machine(machineName(5000 + i)); m.Shard == 1 && m.Group != "" {
				moved++
			}
		}
		if moved != 30 {
			t.Errorf("%s: %d machines have moved", c.name, moved)
		}
	}
}

// moveMachines moves the first machines of a large group that are in the batch shard to
// another, as far as one tick does.
func (l *testLeader) moveMachines(count, toShard int) {
	l.t.Helper()
	l.now += time.Second
	p := l.provisioner
	p.writer.begin()
	p.moves.begin()
	for i := range count {
		if m := l.machine(machineName(5000 + i)); m.Shard == storage.BatchShard {
			p.moves.add(m, toShard)
		}
	}
	p.moves.write()
	l.applyTransactions()
}

// groupsInShard counts the groups of a shard that have machines.
func groupsInShard(l *testLeader, shard int) int {
	count := 0
	for _, group := range l.replica.View.MachineGroups {
		if group.Shard == shard && len(group.Machines) > 0 {
			count++
		}
	}
	return count
}

// TestOversizedGroupsAreCounted: a group counts while its record is over the limit.
func TestOversizedGroupsAreCounted(t *testing.T) {
	l := newTestLeader(t)
	l.limitStore(2048, 8, 100)
	l.put(storage.MachineGroupKey("large"), largeGroup(60))
	l.put(storage.MachineGroupKey("small"), largeGroup(2))
	if got := l.provisioner.OversizedGroups(); got != 1 {
		t.Errorf("%d are over the limit", got)
	}
	l.put(storage.MachineGroupKey("large"), largeGroup(3))
	if got := l.provisioner.OversizedGroups(); got != 0 {
		t.Errorf("%d are over the limit after it was written smaller", got)
	}
}

// TestEmptyGroupsStayForTheirTerm: a late copy of the transaction that made a group must
// find its key there for as long as its leader leads, or machines that have moved on would
// come back.
func TestEmptyGroupsStayForTheirTerm(t *testing.T) {
	l := newTestLeader(t)
	empty := storage.MachineGroupRecord{FencingToken: l.NextFencingToken()}
	if op := l.provisioner.writer.operation("x", empty); op.Delete != "" {
		t.Error("an empty group of this term is removed")
	}
	empty.FencingToken = testGrantToken // of the term before
	if op := l.provisioner.writer.operation("x", empty); op.Delete == "" {
		t.Error("an empty group of an earlier term stays")
	}
}

// TestGroupsAreNotWrittenTwice: the next write of a group waits until the view shows the
// last.
func TestGroupsAreNotWrittenTwice(t *testing.T) {
	l := newTestLeader(t)
	writer := l.provisioner.writer
	l.putGroup("b", storage.MachineEntry{Name: "m-1"}, storage.MachineEntry{Name: "m-2"})
	drain := func(name string) {
		writer.begin()
		writer.setPhase(l.machine(name), storage.PhaseDraining, "idle")
		writer.flush(l.now)
	}
	drain("m-1")
	if !writer.pending(l.machine("m-2")) {
		t.Error("another machine of the group may be changed while the write is under way")
	}
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d transactions while one is under way", len(l.transactions))
	}
	l.answers[0](l.revision+1, nil) // before the changes show it
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d transactions before the view shows the first", len(l.transactions))
	}
	l.answers[0] = func(uint64, error) {}
	l.applyTransactions()
	drain("m-2")
	if len(l.transactions) != 1 {
		t.Fatalf("%d transactions once it does", len(l.transactions))
	}
}

// TestFoundMachinesAreGrouped: machines that no record names come into groups by their
// kind, once each.
func TestFoundMachinesAreGrouped(t *testing.T) {
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
		t.Fatalf("%d transactions for three runs of one kind", len(l.transactions))
	}
	l.applyTransactions()
	adoptions.write()
	if m := l.machine("m-0"); m.Group == "" || m.Group != l.machine("m-1").Group || m.Group == l.machine("m-2").Group {
		t.Errorf("groups %s, %s and %s", m.Group, l.machine("m-1").Group, l.machine("m-2").Group)
	}
	if len(adoptions.groups)+len(adoptions.machines) > 0 {
		t.Errorf("%d groups of %d machines are still to be recorded", len(adoptions.groups), len(adoptions.machines))
	}
}
