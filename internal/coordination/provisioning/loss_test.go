package provisioning

import (
	"errors"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestDeletedMachineRecordsAreRetained checks that the record of a deleted machine is retained
// while delayed lists and duplicated heartbeats may still arrive. Without the record, these
// would lead to a new adoption of the machine.
func TestDeletedMachineRecordsAreRetained(t *testing.T) {
	l := newTestLeader(t)
	list := l.provisioner.list
	expiredAfter := func(ago time.Duration) map[string]bool {
		l.putGroup("b", storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDeleted, DeletedAtMS: l.Wall().Add(-ago).UnixMilli()})
		list.call.DelayUntil(0)
		list.refresh(l.now)
		return list.expiredRecords
	}
	if names := expiredAfter(5 * time.Minute); len(names) != 0 {
		t.Errorf("records expired after five minutes: %v, want none", names)
	}
	if names := expiredAfter(time.Hour); !names["m-1"] {
		t.Error("record not expired after an hour")
	}
}

// TestUnlistedMachines checks that a machine counts as unlisted only if the list contains a
// newer one.
func TestUnlistedMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed []string
		want   bool
	}{
		{"empty list", nil, false},
		{"only an older machine", []string{"m-1"}, false},
		{"a newer machine", []string{"m-1", "m-3"}, true},
		{"a newer machine and the machine itself", []string{"m-1", "m-2", "m-3"}, false},
	} {
		l := newTestLeader(t)
		l.putGroup("b", storage.MachineEntry{Name: "m-1"}, storage.MachineEntry{Name: "m-2"}, storage.MachineEntry{Name: "m-3"})
		for _, name := range c.listed {
			l.cloud.listed = append(l.cloud.listed, protocol.CloudMachine{Name: name, Type: "small", Zone: "z", Stage: protocol.MachineRunning})
		}
		l.provisioner.list.refresh(l.now)
		if got := l.provisioner.list.unlisted["m-2"]; got != c.want {
			t.Errorf("%s: unlisted %t, want %t", c.name, got, c.want)
		}
	}
}

// TestLossReasons checks which machines are lost, and for which reason.
func TestLossReasons(t *testing.T) {
	const minute = time.Minute
	for _, c := range []struct {
		name   string
		status protocol.MachineStatus
		known  bool
		change func(*testLeader, *lossDetector)
		want   string
	}{
		{"healthy", protocol.MachineStatus{Seen: true}, true, func(*testLeader, *lossDetector) {}, ""},
		{"silent", protocol.MachineStatus{Seen: true, Silent: minute}, true, func(*testLeader, *lossDetector) {}, "silent"},
		{"silent for less than the timeout", protocol.MachineStatus{Seen: true, Silent: 20 * time.Second}, true, func(*testLeader, *lossDetector) {}, ""},
		{"never heard by a new holder", protocol.MachineStatus{Tasks: 1, Silent: minute}, true, func(*testLeader, *lossDetector) {}, "silent since its holder changed"},
		{"no status from its holder", protocol.MachineStatus{}, false, func(*testLeader, *lossDetector) {}, ""},
		{"failed at the cloud", protocol.MachineStatus{}, false, func(_ *testLeader, d *lossDetector) {
			d.list.failed = map[string]bool{"m-1": true}
		}, "failed"},
		{"unlisted and silent", protocol.MachineStatus{Seen: true, Silent: 4 * time.Second}, true, func(_ *testLeader, d *lossDetector) {
			d.list.unlisted["m-1"] = true
		}, "no longer listed"},
		{"unlisted and heard", protocol.MachineStatus{Seen: true}, true, func(_ *testLeader, d *lossDetector) {
			d.list.unlisted["m-1"] = true
		}, ""},
		{"unresponsive", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, func(*testLeader, *lossDetector) {}, "hears nothing"},
		{"unresponsive with most of its shard", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, func(_ *testLeader, d *lossDetector) {
			d.counts.held[0], d.counts.unresponsive[0] = 10, 6
		}, ""},
		{"silent in a partitioned zone", protocol.MachineStatus{Seen: true, Silent: minute}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.PartitionedZones = map[int]bool{l.machine("m-1").ZoneIndex: true}
		}, ""},
		{"silent in a partitioned zone for too long", protocol.MachineStatus{Seen: true, Silent: 3 * minute}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.PartitionedZones = map[int]bool{l.machine("m-1").ZoneIndex: true}
		}, "silent"},
		{"boot overdue", protocol.MachineStatus{Silent: 29 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(5 * minute)
		}, ""},
		{"boot overdue while tasks are blocked", protocol.MachineStatus{Silent: 29 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(5 * minute)
			d.workBlocked = true
		}, "never came up"},
		{"never seen for too long", protocol.MachineStatus{Silent: 31 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(maxUnseenAge)
		}, "never came up"},
	} {
		l := newTestLeader(t)
		l.putGroup("b", storage.MachineEntry{Name: "m-1"})
		p := l.provisioner
		detector := &lossDetector{Config: &p.Config, list: p.list, fleet: p.fleet(), counts: p.countMachines()}
		c.change(l, detector)
		if got := detector.reason(l.machine("m-1"), c.status, c.known); got != c.want {
			t.Errorf("%s: reason %q, want %q", c.name, got, c.want)
		}
	}
}

// TestPartitionedZones checks when a zone counts as partitioned.
func TestPartitionedZones(t *testing.T) {
	for _, c := range []struct {
		name          string
		known, silent int
		want          bool
	}{
		{"most are silent", 4, 3, true},
		{"half are silent", 4, 2, false},
		{"too few are known", 3, 3, false},
	} {
		counts := machineCounts{known: map[int]int{1: c.known}, silent: map[int]int{1: c.silent}}
		if got := counts.partitionedZones()[1]; got != c.want {
			t.Errorf("%s: partitioned %t, want %t", c.name, got, c.want)
		}
	}
}

// TestScaleOutAnswers checks the effect of each answer of the cloud to a create request.
func TestScaleOutAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		names   []string
		err     error
		pending bool // the request is retried
		refused bool // no requests to the pool for a while
		groups  int
	}{
		{"all machines created", []string{"m-1", "m-2"}, nil, false, false, 1},
		{"fewer machines created", []string{"m-1"}, nil, false, true, 1},
		{"no capacity", nil, protocol.ErrNoCapacity, false, true, 0},
		{"outcome unknown", nil, protocol.ErrOutcomeUnknown, true, false, 0},
		{"rejected", nil, errors.New("refused"), false, false, 0},
	} {
		l := newTestLeader(t)
		p := l.provisioner
		l.put(storage.JobKey("run-1"), storage.JobRecord{Spec: protocol.JobSpec{
			ID: "run-1", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
		}})
		p.runCycle(l.now)
		l.now += 2 * time.Second
		p.runCycle(l.now)
		if len(l.cloud.requests) != 1 || l.cloud.requests[0].Count != 2 {
			t.Fatalf("%s: requests %+v", c.name, l.cloud.requests)
		}
		pool := p.scaleOuts.poolOf(p.scaleOuts.calls[0])
		l.cloud.onCreated[0](c.names, c.err)
		if got := len(p.scaleOuts.calls) > 0; got != c.pending {
			t.Errorf("%s: request pending %t, want %t", c.name, got, c.pending)
		}
		if got := p.poolUnavailable(pool); got != c.refused {
			t.Errorf("%s: pool unavailable %t, want %t", c.name, got, c.refused)
		}
		if got := len(p.adoptions.groups); got != c.groups {
			t.Errorf("%s: %d groups to record, want %d", c.name, got, c.groups)
		}
		l.now += 2 * time.Second
		p.scaleOuts.send(l.now)
		if got := len(l.cloud.requests) > 1; got != c.pending || got && l.cloud.requests[1] != l.cloud.requests[0] {
			t.Errorf("%s: requests %+v after the retry delay", c.name, l.cloud.requests)
		}
	}
}

// TestRefusalBackoffGrows checks the backoff of requests to a pool that repeatedly has no machines.
func TestRefusalBackoffGrows(t *testing.T) {
	l := newTestLeader(t)
	scaleOuts := l.provisioner.scaleOuts
	pool := l.provisioner.scaleOuts.poolOf(&scaleOutCall{CreateMachinesRequest: protocol.CreateMachinesRequest{Type: "small", Zone: "z"}})
	for _, want := range []time.Duration{minRefusalBackoff, 2 * minRefusalBackoff, maxRefusalBackoff, maxRefusalBackoff} {
		scaleOuts.recordRefusal(pool)
		if !scaleOuts.refused(pool, l.now+want-1) || scaleOuts.refused(pool, l.now+want) {
			t.Errorf("pool not unavailable for exactly %s", want)
		}
	}
}
