package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestMachineTypesAreRecorded: what is read is recorded where it differs from the record by
// more than a small move of the spot price.
func TestMachineTypesAreRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*protocol.MachineType)
		want   int // transactions
	}{
		{"the same", func(*protocol.MachineType) {}, 0},
		{"a spot price that has moved a little", func(m *protocol.MachineType) { m.HourlySpotPrice *= 1.05 }, 0},
		{"a spot price that has moved", func(m *protocol.MachineType) { m.HourlySpotPrice *= 1.2 }, 1},
		{"a spot price that has fallen", func(m *protocol.MachineType) { m.HourlySpotPrice *= 0.8 }, 1},
		{"another zone", func(m *protocol.MachineType) { m.Zones = []string{"z", "y"} }, 1},
		{"another size", func(m *protocol.MachineType) { m.MemoryGB++ }, 1},
		{"another boot time", func(m *protocol.MachineType) { m.BootSeconds++ }, 1},
		{"another type", func(m *protocol.MachineType) { m.Name = "large" }, 1},
	} {
		l := newTestLeader(t)
		machineType := l.replica.View.MachineTypes[0]
		c.change(&machineType)
		l.cloud.types.Types = []protocol.MachineType{machineType}
		for range 3 { // one write at a time
			l.provisioner.types.refresh(l.now)
		}
		if len(l.transactions) != c.want {
			t.Errorf("%s: %d transactions", c.name, len(l.transactions))
		}
	}
}

// TestNothingBeforeMachineTypesAreKnown: without them nothing can be decided.
func TestNothingBeforeMachineTypesAreKnown(t *testing.T) {
	l := newTestLeader(t)
	l.putWaitingJob()
	for range 10 {
		l.now += time.Second
		l.provisioner.Tick()
	}
	if len(l.cloud.requests) > 0 {
		t.Errorf("asked for before the machine types were read: %+v", l.cloud.requests)
	}
	l.cloud.types.Types = l.replica.View.MachineTypes
	for range 10 {
		l.now += time.Second
		l.provisioner.Tick()
		l.applyTransactions()
	}
	if len(l.cloud.requests) == 0 {
		t.Error("nothing is asked for once they are")
	}
}

// TestScalingTarget: machines that are to stay are counted, those that drain are named.
func TestScalingTarget(t *testing.T) {
	supply := func(name string, phase storage.MachinePhase) *autoscaler.Supply {
		return &autoscaler.Supply{Machine: &storage.Machine{MachineEntry: storage.MachineEntry{Name: name, Phase: phase}}}
	}
	supplies := []*autoscaler.Supply{supply("m-1", storage.PhaseActive), {}, supply("m-2", storage.PhaseDraining)}
	record := scalingTarget(testTerm, supplies)
	if record.Term != testTerm || record.Target != 2 || len(record.Draining) != 1 || record.Draining[0] != "m-2" {
		t.Errorf("%+v", record)
	}
	for range 2 * maxDrainingNamed {
		supplies = append(supplies, supply("m", storage.PhaseDraining))
	}
	if record := scalingTarget(testTerm, supplies); record.Target != 2 || len(record.Draining) != maxDrainingNamed {
		t.Errorf("%d stay, %d are named", record.Target, len(record.Draining))
	}
}

// TestScalingTargetIsWrittenOnce: it is written when it changes, and not while a write is
// under way.
func TestScalingTargetIsWrittenOnce(t *testing.T) {
	l := newTestLeader(t)
	for range 3 {
		l.provisioner.target.update(l.now, []*autoscaler.Supply{{}})
	}
	l.applyTransactions()
	if got := l.replica.View.ScalingTarget.Target; got != 1 {
		t.Errorf("the target is %d", got)
	}
	l.now += targetInterval
	l.provisioner.target.update(l.now, []*autoscaler.Supply{{}})
	if len(l.transactions) > 0 {
		t.Error("written again without a change")
	}
}

// TestHistoryIsBounded: the last decisions are kept, the latest first.
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
