package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestMachineTypesAreRecorded checks that machine types are recorded when they differ from the
// record by more than a small change of the spot price.
func TestMachineTypesAreRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*protocol.MachineType)
		want   int // transactions
	}{
		{"unchanged", func(*protocol.MachineType) {}, 0},
		{"small change of the spot price", func(m *protocol.MachineType) { m.HourlySpotPrice *= 1.05 }, 0},
		{"higher spot price", func(m *protocol.MachineType) { m.HourlySpotPrice *= 1.2 }, 1},
		{"lower spot price", func(m *protocol.MachineType) { m.HourlySpotPrice *= 0.8 }, 1},
		{"additional zone", func(m *protocol.MachineType) { m.Zones = []string{"z", "y"} }, 1},
		{"other memory size", func(m *protocol.MachineType) { m.MemoryGB++ }, 1},
		{"other boot time", func(m *protocol.MachineType) { m.BootSeconds++ }, 1},
		{"new machine type", func(m *protocol.MachineType) { m.Name = "large" }, 1},
	} {
		l := newTestLeader(t)
		machineType := l.replica.View.MachineTypes[0]
		c.change(&machineType)
		l.cloud.types.Types = []protocol.MachineType{machineType}
		for range 3 { // only one write may be in flight
			l.provisioner.types.refresh(l.now)
		}
		if len(l.transactions) != c.want {
			t.Errorf("%s: %d transactions, want %d", c.name, len(l.transactions), c.want)
		}
	}
}

// TestNoScaleOutBeforeMachineTypesAreKnown checks that no machines are requested before the
// machine types are known, as no decision is possible without them.
func TestNoScaleOutBeforeMachineTypesAreKnown(t *testing.T) {
	l := newTestLeader(t)
	l.putBlockedJob()
	for range 10 {
		l.now += time.Second
		l.provisioner.Tick()
	}
	if len(l.cloud.requests) > 0 {
		t.Errorf("machines requested before the machine types were read: %+v", l.cloud.requests)
	}
	l.cloud.types.Types = l.replica.View.MachineTypes
	for range 10 {
		l.now += time.Second
		l.provisioner.Tick()
		l.applyTransactions()
	}
	if len(l.cloud.requests) == 0 {
		t.Error("no machines requested after the machine types were recorded")
	}
}

// TestScalingTarget checks that the target counts the machines to retain and names the
// draining ones up to the limit.
func TestScalingTarget(t *testing.T) {
	supply := func(name string, phase storage.MachinePhase) *autoscaler.Supply {
		return &autoscaler.Supply{Machine: &storage.Machine{MachineEntry: storage.MachineEntry{Name: name, Phase: phase}}}
	}
	supplies := []*autoscaler.Supply{supply("m-1", storage.PhaseActive), {}, supply("m-2", storage.PhaseDraining)}
	record := scalingTarget(testTerm, supplies)
	if record.Term != testTerm || record.Target != 2 || len(record.Draining) != 1 || record.Draining[0] != "m-2" {
		t.Errorf("scaling target %+v", record)
	}
	for range 2 * maxDrainingNamed {
		supplies = append(supplies, supply("m", storage.PhaseDraining))
	}
	if record := scalingTarget(testTerm, supplies); record.Target != 2 || len(record.Draining) != maxDrainingNamed {
		t.Errorf("target is %d with %d draining machines named", record.Target, len(record.Draining))
	}
}

// TestScalingTargetIsWrittenOnChange checks that the scaling target is written only when it
// changes, and not while a write is in flight.
func TestScalingTargetIsWrittenOnChange(t *testing.T) {
	l := newTestLeader(t)
	for range 3 {
		l.provisioner.target.update(l.now, []*autoscaler.Supply{{}})
	}
	l.applyTransactions()
	if got := l.replica.View.ScalingTarget.Target; got != 1 {
		t.Errorf("target is %d, want 1", got)
	}
	l.now += targetInterval
	l.provisioner.target.update(l.now, []*autoscaler.Supply{{}})
	if len(l.transactions) > 0 {
		t.Error("target written again without a change")
	}
}

// TestHistoryIsBounded checks that the history retains only the latest decisions, latest
// first.
func TestHistoryIsBounded(t *testing.T) {
	l := newTestLeader(t)
	for i := range maxHistory + 10 {
		l.now += time.Second
		l.provisioner.history.add(Decision{Action: ActionDrain, Count: i})
	}
	list := l.provisioner.History()
	if len(list) != maxHistory || list[0].Count != maxHistory+9 || list[maxHistory-1].Count != 10 || list[0].Term != testTerm {
		t.Errorf("%d decisions, from %+v to %+v", len(list), list[0], list[len(list)-1])
	}
}
