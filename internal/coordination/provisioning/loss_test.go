package provisioning

import (
	"errors"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestGoneMachinesAreRemembered: the record of a deleted machine outlives late lists and
// copies of its agent's heartbeats, so that it is not adopted anew.
func TestGoneMachinesAreRemembered(t *testing.T) {
	l := newTestLeader(t)
	list := l.provisioner.list
	forgettable := func(ago time.Duration) map[string]bool {
		l.putGroup("b", storage.MachineEntry{Name: "m-1", Phase: storage.PhaseDeleted, DeletedAtMS: l.Wall().Add(-ago).UnixMilli()})
		list.call.RetryAt(0)
		list.refresh(l.now)
		return list.forgettable
	}
	if names := forgettable(5 * time.Minute); len(names) != 0 {
		t.Errorf("forgotten after five minutes: %v", names)
	}
	if names := forgettable(time.Hour); !names["m-1"] {
		t.Error("remembered for ever")
	}
}

// TestUnlisted: a machine is missed only by a list that knows a later one.
func TestUnlisted(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed []string
		want   bool
	}{
		{"an empty list", nil, false},
		{"only earlier ones", []string{"m-1"}, false},
		{"a later one", []string{"m-1", "m-3"}, true},
		{"a later one, and itself", []string{"m-1", "m-2", "m-3"}, false},
	} {
		l := newTestLeader(t)
		l.putGroup("b", storage.MachineEntry{Name: "m-1"}, storage.MachineEntry{Name: "m-2"}, storage.MachineEntry{Name: "m-3"})
		for _, name := range c.listed {
			l.cloud.listed = append(l.cloud.listed, protocol.CloudMachine{Name: name, Type: "small", Zone: "z", Stage: protocol.MachineRunning})
		}
		l.provisioner.list.refresh(l.now)
		if got := l.provisioner.list.unlisted["m-2"]; got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestLossReasons: which machines are lost, and why.
func TestLossReasons(t *testing.T) {
	const minute = time.Minute
	for _, c := range []struct {
		name   string
		status protocol.MachineStatus
		known  bool
		change func(*testLeader, *lossDetector)
		want   string
	}{
		{"well", protocol.MachineStatus{Seen: true}, true, func(*testLeader, *lossDetector) {}, ""},
		{"silent", protocol.MachineStatus{Seen: true, Silent: minute}, true, func(*testLeader, *lossDetector) {}, "silent"},
		{"silent for a short while", protocol.MachineStatus{Seen: true, Silent: 20 * time.Second}, true, func(*testLeader, *lossDetector) {}, ""},
		{"silent to a new holder", protocol.MachineStatus{Tasks: 1, Silent: minute}, true, func(*testLeader, *lossDetector) {}, "silent since its holder changed"},
		{"nobody has spoken of it", protocol.MachineStatus{}, false, func(*testLeader, *lossDetector) {}, ""},
		{"failed at the cloud", protocol.MachineStatus{}, false, func(_ *testLeader, d *lossDetector) {
			d.list.failed = map[string]bool{"m-1": true}
		}, "failed"},
		{"not listed and silent", protocol.MachineStatus{Seen: true, Silent: 4 * time.Second}, true, func(_ *testLeader, d *lossDetector) {
			d.list.unlisted["m-1"] = true
		}, "no longer listed"},
		{"not listed and heard", protocol.MachineStatus{Seen: true}, true, func(_ *testLeader, d *lossDetector) {
			d.list.unlisted["m-1"] = true
		}, ""},
		{"unresponsive", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, func(*testLeader, *lossDetector) {}, "hears nothing"},
		{"as most of its shard are", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, func(_ *testLeader, d *lossDetector) {
			d.counts.held[0], d.counts.unresponsive[0] = 10, 6
		}, ""},
		{"silent with its zone", protocol.MachineStatus{Seen: true, Silent: minute}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.PartitionedZones = map[int]bool{l.machine("m-1").ZoneIndex: true}
		}, ""},
		{"silent with its zone for too long", protocol.MachineStatus{Seen: true, Silent: 3 * minute}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.PartitionedZones = map[int]bool{l.machine("m-1").ZoneIndex: true}
		}, "silent"},
		{"overdue", protocol.MachineStatus{Silent: 29 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(5 * minute)
		}, ""},
		{"overdue while work waits", protocol.MachineStatus{Silent: 29 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(5 * minute)
			d.workBlocked = true
		}, "never came up"},
		{"overdue for long", protocol.MachineStatus{Silent: 31 * time.Second}, true, func(l *testLeader, d *lossDetector) {
			d.fleet.Now = l.Wall().Add(bootTimeout)
		}, "never came up"},
	} {
		l := newTestLeader(t)
		l.putGroup("b", storage.MachineEntry{Name: "m-1"})
		p := l.provisioner
		detector := &lossDetector{Config: &p.Config, list: p.list, fleet: p.fleet(), counts: p.countMachines()}
		c.change(l, detector)
		if got := detector.reason(l.machine("m-1"), c.status, c.known); got != c.want {
			t.Errorf("%s: %q, not %q", c.name, got, c.want)
		}
	}
}

// TestPartitionedZones: when a zone counts as partitioned.
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
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestScaleOutAnswers: what becomes of a request by the cloud's answer to it.
func TestScaleOutAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		names   []string
		err     error
		pending bool // the request is repeated
		refused bool // the pool is not asked for a while
		groups  int
	}{
		{"all of them", []string{"m-1", "m-2"}, nil, false, false, 1},
		{"fewer", []string{"m-1"}, nil, false, true, 1},
		{"no capacity", nil, protocol.ErrNoCapacity, false, true, 0},
		{"no answer", nil, protocol.ErrOutcomeUnknown, true, false, 0},
		{"refused", nil, errors.New("refused"), false, false, 0},
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
		l.cloud.created[0](c.names, c.err)
		if got := len(p.scaleOuts.calls) > 0; got != c.pending {
			t.Errorf("%s: pending %t", c.name, got)
		}
		if got := p.poolUnavailable(pool); got != c.refused {
			t.Errorf("%s: pool unavailable %t", c.name, got)
		}
		if got := len(p.adoptions.groups); got != c.groups {
			t.Errorf("%s: %d groups to record", c.name, got)
		}
		l.now += 2 * time.Second
		p.scaleOuts.send(l.now)
		if got := len(l.cloud.requests) > 1; got != c.pending || got && l.cloud.requests[1] != l.cloud.requests[0] {
			t.Errorf("%s: requests %+v", c.name, l.cloud.requests)
		}
	}
}

// TestRefusalsGrow: a pool that goes on having no machines is asked less and less often.
func TestRefusalsGrow(t *testing.T) {
	l := newTestLeader(t)
	scaleOuts := l.provisioner.scaleOuts
	pool := l.provisioner.scaleOuts.poolOf(&scaleOutCall{CreateMachinesRequest: protocol.CreateMachinesRequest{Type: "small", Zone: "z"}})
	for _, want := range []time.Duration{minRefusalPause, 2 * minRefusalPause, maxRefusalPause, maxRefusalPause} {
		scaleOuts.refuse(pool)
		if !scaleOuts.refused(pool, l.now+want-1) || scaleOuts.refused(pool, l.now+want) {
			t.Errorf("not refused for %s", want)
		}
	}
}
