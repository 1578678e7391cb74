package provisioning

import (
	"errors"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestTransitions: which phases may follow on which.
func TestTransitions(t *testing.T) {
	const (
		active          = storage.PhaseActive
		draining        = storage.PhaseDraining
		decommissioning = storage.PhaseDecommissioning
		deleted         = storage.PhaseDeleted
	)
	for _, c := range []struct {
		name  string
		from  storage.MachinePhase
		to    storage.MachinePhase
		legal bool
	}{
		{"drain", active, draining, true},
		{"lose", active, decommissioning, true},
		{"delete one in use", active, deleted, false},
		{"activate twice", active, active, false},
		{"need after all", draining, active, true},
		{"evict", draining, draining, true},
		{"empty or lost", draining, decommissioning, true},
		{"delete before that is recorded", draining, deleted, false},
		{"take back a decommission", decommissioning, active, false},
		{"drain what is being deleted", decommissioning, draining, false},
		{"decommission twice", decommissioning, decommissioning, false},
		{"deleted by the cloud", decommissioning, deleted, true},
		{"use a deleted one", deleted, active, false},
		{"drain a deleted one", deleted, draining, false},
		{"decommission a deleted one", deleted, decommissioning, false},
		{"delete twice", deleted, deleted, false},
		{"a phase that there is not", active, "asleep", false},
	} {
		err := checkTransition(&storage.Machine{MachineEntry: storage.MachineEntry{Name: "m-1", Phase: c.from}}, c.to)
		if (err == nil) != c.legal {
			t.Errorf("%s: %v", c.name, err)
		}
		var illegal *TransitionError
		if !c.legal && (!errors.As(err, &illegal) || illegal.Machine != "m-1" || illegal.From != c.from || illegal.To != c.to) {
			t.Errorf("%s: the error says %v", c.name, err)
		}
	}
}

// TestIllegalTransitionsAreNotWritten: a change that the life cycle does not know is
// dropped.
func TestIllegalTransitionsAreNotWritten(t *testing.T) {
	l := newTestLeader(t)
	l.putGroup("b", storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDecommissioning})
	writer := l.provisioner.writer
	writer.begin()
	writer.setPhase(l.machine("m-1"), storage.PhaseActive, "needed after all")
	writer.flush(l.now)
	if len(l.transactions) > 0 {
		t.Errorf("written: %+v", l.transactions)
	}
}

// TestEntryFollowsPhase: what a change of phase leaves of a machine's entry.
func TestEntryFollowsPhase(t *testing.T) {
	l := newTestLeader(t)
	before := storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDraining, DrainStamp: 7, Evict: true}
	nextToken := l.NextFencingToken() + 1<<24
	for _, c := range []struct {
		name   string
		change machineChange
		want   storage.MachineEntry
	}{
		{"nothing", machineChange{}, before},
		{"an address alone", machineChange{address: "x"},
			storage.MachineEntry{Name: "m-1", Address: "x", Phase: storage.PhaseDraining, DrainStamp: 7, Evict: true}},
		{"active again", machineChange{phase: storage.PhaseActive}, storage.MachineEntry{Name: "m-1", Address: "w"}},
		{"a drain that begins", machineChange{phase: storage.PhaseDraining},
			storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDraining, DrainStamp: nextToken}},
		{"a drain that goes on", machineChange{phase: storage.PhaseDraining, drainStamp: 7, evict: true}, before},
		{"decommissioning", machineChange{phase: storage.PhaseDecommissioning},
			storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDecommissioning}},
		{"deleted", machineChange{phase: storage.PhaseDeleted},
			storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDeleted, DeletedAtMS: l.Wall().UnixMilli()}},
	} {
		if got := l.provisioner.writer.changedEntry(before, &c.change); got != c.want {
			t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
		}
	}
}

// TestDrainedMachineIsDeleted: a machine that its holder calls empty is decommissioned,
// deleted at the cloud, recorded as deleted, and forgotten in the end.
func TestDrainedMachineIsDeleted(t *testing.T) {
	l := newTestLeader(t)
	l.cloud.types = protocol.MachineTypeCatalogue{Types: l.replica.View.MachineTypes}
	l.putGroup("b", storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDraining, DrainStamp: 7})
	m := l.machine("m-1")
	l.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) {
		return protocol.MachineStatus{Name: "m-1", Seen: true, Empty: 7}, true
	}
	tick := func() {
		l.now += time.Second
		l.provisioner.Tick()
		l.applyTransactions()
	}
	tick()
	if m.Phase != storage.PhaseDecommissioning {
		t.Fatalf("phase %s once it is empty", m.Phase)
	}
	tick()
	if len(l.cloud.deleted) != 1 || l.cloud.deleted[0][0] != "m-1" {
		t.Fatalf("deleted at the cloud: %v", l.cloud.deleted)
	}
	l.cloud.onDeleted[0](nil)
	for range deletedRecordDelay/time.Second + 1 {
		tick()
	}
	if m.Phase != storage.PhaseDeleted {
		t.Fatalf("phase %s after the cloud has deleted it", m.Phase)
	}
	if len(l.cloud.deleted) != 1 {
		t.Errorf("deleted again: %v", l.cloud.deleted)
	}
	l.now += time.Hour
	for range 3 {
		tick()
	}
	if m.Group != "" {
		t.Errorf("group %s still names it after an hour", m.Group)
	}
}
