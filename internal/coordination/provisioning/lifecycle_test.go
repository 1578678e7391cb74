package provisioning

import (
	"errors"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestTransitions checks which phase changes the life cycle allows.
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
		{"lost while active", active, decommissioning, true},
		{"delete an active machine", active, deleted, false},
		{"activate twice", active, active, false},
		{"reactivate", draining, active, true},
		{"evict", draining, draining, true},
		{"empty or lost while draining", draining, decommissioning, true},
		{"delete before decommissioning", draining, deleted, false},
		{"reactivate while decommissioning", decommissioning, active, false},
		{"drain while decommissioning", decommissioning, draining, false},
		{"decommission twice", decommissioning, decommissioning, false},
		{"deleted by the cloud", decommissioning, deleted, true},
		{"reactivate a deleted machine", deleted, active, false},
		{"drain a deleted machine", deleted, draining, false},
		{"decommission a deleted machine", deleted, decommissioning, false},
		{"delete twice", deleted, deleted, false},
		{"unknown phase", active, "asleep", false},
	} {
		err := checkTransition(&storage.Machine{MachineEntry: storage.MachineEntry{Name: "m-1", Phase: c.from}}, c.to)
		if (err == nil) != c.legal {
			t.Errorf("%s: %v", c.name, err)
		}
		var illegal *TransitionError
		if !c.legal && (!errors.As(err, &illegal) || illegal.Machine != "m-1" || illegal.From != c.from || illegal.To != c.to) {
			t.Errorf("%s: error %v, want a TransitionError with the machine and both phases", c.name, err)
		}
	}
}

// TestIllegalTransitionsAreNotWritten checks that phase changes which the life cycle does not
// allow are discarded.
func TestIllegalTransitionsAreNotWritten(t *testing.T) {
	l := newTestLeader(t)
	l.putGroup("b", storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDecommissioning})
	writer := l.provisioner.writer
	writer.reset()
	writer.setPhase(l.machine("m-1"), storage.PhaseActive, "needed after all")
	writer.flush(l.now)
	if len(l.transactions) > 0 {
		t.Errorf("transactions %+v, want none", l.transactions)
	}
}

// TestPhaseChangeUpdatesEntry checks a machine's entry after a change of its phase or address.
func TestPhaseChangeUpdatesEntry(t *testing.T) {
	l := newTestLeader(t)
	before := storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDraining, DrainStamp: 7, Evict: true}
	nextToken := l.NextFencingToken() + 1<<24
	for _, c := range []struct {
		name   string
		change machineChange
		want   storage.MachineEntry
	}{
		{"no change", machineChange{}, before},
		{"address only", machineChange{address: "x"},
			storage.MachineEntry{Name: "m-1", Address: "x", Phase: storage.PhaseDraining, DrainStamp: 7, Evict: true}},
		{"reactivated", machineChange{phase: storage.PhaseActive}, storage.MachineEntry{Name: "m-1", Address: "w"}},
		{"drain started", machineChange{phase: storage.PhaseDraining},
			storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDraining, DrainStamp: nextToken}},
		{"drain continued", machineChange{phase: storage.PhaseDraining, drainStamp: 7, evict: true}, before},
		{"decommissioning", machineChange{phase: storage.PhaseDecommissioning},
			storage.MachineEntry{Name: "m-1", Address: "w", Phase: storage.PhaseDecommissioning}},
		{"deleted", machineChange{phase: storage.PhaseDeleted},
			storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDeleted, DeletedAtMS: l.Wall().UnixMilli()}},
	} {
		if got := l.provisioner.writer.changedEntry(before, &c.change); got != c.want {
			t.Errorf("%s: entry %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestDrainedMachineIsDeleted checks the end of a machine's life cycle: a draining machine that
// its holder confirms empty is decommissioned, deleted at the cloud and recorded as deleted.
// Its record is removed later.
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
		t.Fatalf("phase %s once the machine is empty, want decommissioning", m.Phase)
	}
	tick()
	if len(l.cloud.deleted) != 1 || l.cloud.deleted[0][0] != "m-1" {
		t.Fatalf("machines deleted at the cloud: %v, want m-1", l.cloud.deleted)
	}
	l.cloud.onDeleted[0](nil)
	for range deletedRecordDelay/time.Second + 1 {
		tick()
	}
	if m.Phase != storage.PhaseDeleted {
		t.Fatalf("phase %s after the deletion at the cloud, want deleted", m.Phase)
	}
	if len(l.cloud.deleted) != 1 {
		t.Errorf("machine deleted more than once: %v", l.cloud.deleted)
	}
	l.now += time.Hour
	for range 3 {
		tick()
	}
	if m.Group != "" {
		t.Errorf("group %s still contains the machine after an hour", m.Group)
	}
}
