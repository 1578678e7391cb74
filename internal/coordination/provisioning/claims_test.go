package provisioning

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// claimFixture is a leader with two job shards: the second has a service with a pending
// replica, and the batch shard has a suitable machine that runs one task of an array.
type claimFixture struct {
	*testLeader
	machine *storage.Machine
	unmet   autoscaler.Unmet
}

func newClaimFixture(t *testing.T) *claimFixture {
	t.Helper()
	f := &claimFixture{testLeader: newTestLeader(t)}
	f.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	f.putGroup("b", storage.MachineEntry{Name: "m-1", Address: "w"})
	f.machine = f.testLeader.machine("m-1")
	f.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) {
		return protocol.MachineStatus{Seen: true, Tasks: 1}, true
	}
	f.putJob("run-1", protocol.KindArray, "normal")
	f.put(storage.IntentPageKey(storage.PageID{}), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", 9)}})
	f.putJob("svc-1", protocol.KindService, "critical")
	return f
}

func (f *claimFixture) putJob(id, kind, priority string) {
	f.put(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
		ID: id, Team: "red", Kind: kind, Priority: priority, Tasks: 1, CPUs: 4, MemoryGB: 1,
	}})
}

// update runs one round of claims for the service while all pools are unavailable.
func (f *claimFixture) update() {
	_, service := f.replica.View.Jobs.Find("svc-1")
	f.unmet = autoscaler.Unmet{{Job: service, Shard: service.Shard, Count: 1}}
	p := f.provisioner
	p.claims.update(p.fleet().Supplies(), f.unmet, func(autoscaler.Pool) bool { return true })
}

// TestClaimableMachines checks which machines of another job shard are claimed for a pending
// service.
func TestClaimableMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*claimFixture)
		claimed bool
	}{
		{"task of a lower rank", func(*claimFixture) {}, true},
		{"task of the same rank", func(f *claimFixture) { f.putJob("run-1", protocol.KindArray, "critical") }, false},
		{"hosts a replica", func(f *claimFixture) { f.putJob("run-1", protocol.KindService, "normal") }, false},
		{"silent", func(f *claimFixture) {
			f.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) {
				return protocol.MachineStatus{Seen: true, Silent: time.Minute}, true
			}
		}, false},
		{"not up yet", func(f *claimFixture) {
			f.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) { return protocol.MachineStatus{}, true }
		}, false},
		{"too small", func(f *claimFixture) {
			f.put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 2, MemoryGB: 32, Zones: []string{"z"}}}})
		}, false},
		{"record change pending", func(f *claimFixture) {
			f.provisioner.writer.add(machineChange{machine: f.machine, address: "x"})
		}, false},
	} {
		f := newClaimFixture(t)
		c.change(f)
		f.update()
		if got := f.provisioner.claims.claimed(f.machine); got != c.claimed {
			t.Errorf("%s: claimed %t, want %t", c.name, got, c.claimed)
		}
		i := slices.IndexFunc(f.provisioner.writer.changes["b"], func(change machineChange) bool {
			return change.phase == storage.PhaseDraining && change.evict
		})
		if drains := i >= 0; drains != c.claimed {
			t.Errorf("%s: drain with eviction added %t, want %t", c.name, drains, c.claimed)
		}
	}
}

// TestNoClaimWhenScaleOutPossible checks that no machine is claimed while the cloud can
// provide new ones.
func TestNoClaimWhenScaleOutPossible(t *testing.T) {
	f := newClaimFixture(t)
	f.update()
	delete(f.provisioner.claims.byMachine, "m-1")
	f.provisioner.claims.update(f.provisioner.fleet().Supplies(), f.unmet, func(autoscaler.Pool) bool { return false })
	if f.provisioner.claims.claimed(f.machine) {
		t.Error("machine claimed although pools are available")
	}
}

// TestClaimPersistsUntilMove checks that a claimed machine counts as supply in the next round,
// and that the claim lasts until the machine has moved.
func TestClaimPersistsUntilMove(t *testing.T) {
	f := newClaimFixture(t)
	f.putGroup("c", storage.MachineEntry{Name: "m-2", Address: "w"})
	f.update()
	f.update()
	claims := f.provisioner.claims.byMachine
	if len(claims) != 1 {
		t.Fatalf("claims for one replica: %v, want one", claims)
	}
	shard := f.unmet[0].Shard
	for name := range claims {
		m := f.testLeader.machine(name)
		if got := f.provisioner.assignShardFor(m); got != shard {
			t.Errorf("machine %s moves to shard %d, want %d", name, got, shard)
		}
		f.put(storage.MachineGroupKey(m.Group), storage.MachineGroupRecord{Type: "small", Zone: "z", Shard: shard, Machines: []storage.MachineEntry{{Name: name}}})
	}
	f.unmet = nil
	f.provisioner.claims.update(f.provisioner.fleet().Supplies(), nil, func(autoscaler.Pool) bool { return true })
	if len(claims) != 0 {
		t.Errorf("claims after the move: %v, want none", claims)
	}
}

// TestChangeUrgency checks the order in which changes of machines are written.
func TestChangeUrgency(t *testing.T) {
	f := newClaimFixture(t)
	_, array := f.replica.View.Jobs.Find("run-1")
	_, service := f.replica.View.Jobs.Find("svc-1")
	withTask := func(j *storage.Job) *storage.Machine {
		return &storage.Machine{MachineEntry: storage.MachineEntry{Name: "m"}, Intents: map[storage.TaskRef]storage.Intent{{Job: j.Index}: {}}}
	}
	empty := &storage.Machine{MachineEntry: storage.MachineEntry{Name: "m"}}
	claimed := &storage.Machine{MachineEntry: storage.MachineEntry{Name: "claimed"}}
	f.provisioner.claims.byMachine["claimed"] = 1
	last := -1
	for _, c := range []struct {
		name    string
		changes []machineChange // of equal urgency, higher than that of the previous case
	}{
		{"cost only", []machineChange{{machine: empty, phase: storage.PhaseDraining}, {machine: empty, phase: storage.PhaseDecommissioning}, {machine: empty, remove: true}}},
		{"tasks", []machineChange{{machine: withTask(array), phase: storage.PhaseDecommissioning}, {machine: empty, phase: storage.PhaseActive}}},
		{"claims", []machineChange{{machine: claimed, phase: storage.PhaseDraining}}},
		{"replicas", []machineChange{{machine: withTask(service), phase: storage.PhaseDeleted}, {machine: empty, phase: storage.PhaseDraining, evict: true}}},
	} {
		urgency := f.provisioner.urgency(c.changes[0])
		for i, change := range c.changes {
			if got := f.provisioner.urgency(change); got != urgency || got <= last {
				t.Errorf("%s, change %d: urgency %d, want %d and more than %d", c.name, i, got, urgency, last)
			}
		}
		last = urgency
	}
}

// TestClaimedDrainEvictsForPendingReplicas checks that the tasks of a draining claimed machine
// are evicted once pending replicas need the machine. The change keeps the drain's stamp and is
// written once.
func TestClaimedDrainEvictsForPendingReplicas(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry storage.MachineEntry
		spare bool
		want  bool
	}{
		{"pending replicas", storage.MachineEntry{}, false, true},
		{"expected replicas only", storage.MachineEntry{}, true, false},
		{"eviction already recorded", storage.MachineEntry{Evict: true}, false, false},
	} {
		f := newClaimFixture(t)
		c.entry.Name, c.entry.Phase, c.entry.DrainStamp = "m-1", storage.PhaseDraining, 7
		f.putGroup("b", c.entry)
		_, service := f.replica.View.Jobs.Find("svc-1")
		claims := f.provisioner.claims
		claims.byMachine["m-1"] = service.Shard
		unmet := autoscaler.Unmet{{Job: service, Shard: service.Shard, Count: 1, Spare: c.spare}}
		claims.update(f.provisioner.fleet().Supplies(), unmet, func(autoscaler.Pool) bool { return true })
		changes := f.provisioner.writer.changes["b"]
		if evicted := len(changes) == 1 && changes[0].evict && changes[0].drainStamp == 7; evicted != c.want || len(changes) > 1 {
			t.Errorf("%s: eviction added %t, want %t; changes %+v", c.name, evicted, c.want, changes)
		}
	}
}
