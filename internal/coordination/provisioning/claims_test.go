package provisioning

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// claimFixture is a leader of two job shards: a service of the second waits, and the batch
// shard has a machine that suits it, on which one task of an array runs.
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

// update makes one round of claims for the service, while no machine is to be had.
func (f *claimFixture) update() {
	_, service := f.replica.View.Jobs.Find("svc-1")
	f.unmet = autoscaler.Unmet{{Job: service, Shard: service.Shard, Count: 1}}
	p := f.provisioner
	p.claims.update(p.fleet().Supplies(), f.unmet, func(autoscaler.Pool) bool { return true })
}

// TestClaims: which machines of another job shard drain for a service that waits.
func TestClaims(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*claimFixture)
		claimed bool
	}{
		{"one with work of a lower rank", func(*claimFixture) {}, true},
		{"not one with work of the same rank", func(f *claimFixture) { f.putJob("run-1", protocol.KindArray, "critical") }, false},
		{"not one with a replica", func(f *claimFixture) { f.putJob("run-1", protocol.KindService, "normal") }, false},
		{"not one that is silent", func(f *claimFixture) {
			f.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) {
				return protocol.MachineStatus{Seen: true, Silent: time.Minute}, true
			}
		}, false},
		{"not one that is not up", func(f *claimFixture) {
			f.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) { return protocol.MachineStatus{}, true }
		}, false},
		{"not one that is too small", func(f *claimFixture) {
			f.put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 2, MemoryGB: 32, Zones: []string{"z"}}}})
		}, false},
		{"not one whose record is being changed", func(f *claimFixture) {
			f.provisioner.writer.add(machineChange{machine: f.machine, address: "x"})
		}, false},
	} {
		f := newClaimFixture(t)
		c.change(f)
		f.update()
		if got := f.provisioner.claims.claimed(f.machine); got != c.claimed {
			t.Errorf("%s: claimed %t", c.name, got)
		}
		i := slices.IndexFunc(f.provisioner.writer.changes["b"], func(change machineChange) bool {
			return change.phase == storage.PhaseDraining && change.evict
		})
		if drains := i >= 0; drains != c.claimed {
			t.Errorf("%s: drains %t", c.name, drains)
		}
	}
}

// TestNoClaimWhileMachinesAreToBeHad: a new machine is better than another shard's.
func TestNoClaimWhileMachinesAreToBeHad(t *testing.T) {
	f := newClaimFixture(t)
	f.update()
	delete(f.provisioner.claims.byMachine, "m-1")
	f.provisioner.claims.update(f.provisioner.fleet().Supplies(), f.unmet, func(autoscaler.Pool) bool { return false })
	if f.provisioner.claims.claimed(f.machine) {
		t.Error("a machine is claimed")
	}
}

// TestClaimsLast: a claimed machine counts for the next round, and is claimed until it has
// moved.
func TestClaimsLast(t *testing.T) {
	f := newClaimFixture(t)
	f.putGroup("c", storage.MachineEntry{Name: "m-2", Address: "w"})
	f.update()
	f.update()
	claims := f.provisioner.claims.byMachine
	if len(claims) != 1 {
		t.Fatalf("claimed for one replica: %v", claims)
	}
	shard := f.unmet[0].Shard
	for name := range claims {
		m := f.testLeader.machine(name)
		if got := f.provisioner.takeShardFor(m); got != shard {
			t.Errorf("%s goes to shard %d, not %d", name, got, shard)
		}
		f.put(storage.MachineGroupKey(m.Group), storage.MachineGroupRecord{Type: "small", Zone: "z", Shard: shard, Machines: []storage.MachineEntry{{Name: name}}})
	}
	f.unmet = nil
	f.provisioner.claims.update(f.provisioner.fleet().Supplies(), nil, func(autoscaler.Pool) bool { return true })
	if len(claims) != 0 {
		t.Errorf("claimed once it has moved: %v", claims)
	}
}

// TestUrgency: which changes are written first.
func TestUrgency(t *testing.T) {
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
		changes []machineChange // of the same urgency, above that of those before
	}{
		{"only money", []machineChange{{machine: empty, phase: storage.PhaseDraining}, {machine: empty, phase: storage.PhaseDecommissioning}, {machine: empty, forget: true}}},
		{"tasks", []machineChange{{machine: withTask(array), phase: storage.PhaseDecommissioning}, {machine: empty, phase: storage.PhaseActive}}},
		{"claims", []machineChange{{machine: claimed, phase: storage.PhaseDraining}}},
		{"replicas", []machineChange{{machine: withTask(service), phase: storage.PhaseDeleted}, {machine: empty, phase: storage.PhaseDraining, evict: true}}},
	} {
		urgency := f.provisioner.urgency(c.changes[0])
		for i, change := range c.changes {
			if got := f.provisioner.urgency(change); got != urgency || got <= last {
				t.Errorf("%s, change %d: urgency %d after %d", c.name, i, got, last)
			}
		}
		last = urgency
	}
}

// TestClaimedDrainsAreHurried: what is on a claimed machine is stopped once replicas wait for
// it, under the drain's stamp of before, and that is written once.
func TestClaimedDrainsAreHurried(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry storage.MachineEntry
		spare bool
		want  bool
	}{
		{"replicas wait", storage.MachineEntry{}, false, true},
		{"the room is for those to come", storage.MachineEntry{}, true, false},
		{"it was written", storage.MachineEntry{Evict: true}, false, false},
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
		if hurried := len(changes) == 1 && changes[0].evict && changes[0].drainStamp == 7; hurried != c.want || len(changes) > 1 {
			t.Errorf("%s: changes %+v", c.name, changes)
		}
	}
}
