package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestEachConditionHoldsScaleInBack: an idle machine drains after its window; any one of
// the conditions alone keeps it.
func TestEachConditionHoldsScaleInBack(t *testing.T) {
	const window = 25 * time.Second
	for _, c := range []struct {
		name    string
		blocked bool
		waited  float64 // windows
		change  func(*Supply)
		want    bool
	}{
		{"idle for the window", false, 1, func(*Supply) {}, true},
		{"not for as long", false, 0.9, func(*Supply) {}, false},
		{"work of its shard is blocked", true, 1, func(*Supply) {}, false},
		{"not up", false, 1, func(x *Supply) { x.Ready = false }, false},
		{"silent, draining or faulty", false, 1, func(x *Supply) { x.Schedulable = false }, false},
		{"a replica is on it", false, 1, func(x *Supply) { x.HostsService = true }, false},
		{"booked by half", false, 1, func(x *Supply) { x.free.CPUs /= 2 }, false},
	} {
		r := newTestRecords(t)
		m := r.machine()
		x := NewSupply(&r.view.MachineTypes[m.TypeIndex], Pool{m.TypeIndex, m.ZoneIndex, m.Spot}, 0)
		x.Machine, x.Ready, x.bootSecondsLeft = m, true, 0
		c.change(x)
		s := NewScaleIn(ScaleInConfig{Window: window, Below: 0.3})
		in := &ScaleInInput{
			Now: time.Minute, View: r.view, Blocked: map[int]bool{0: c.blocked}, TakeShardFor: func(*storage.Machine) int { return -1 },
		}
		if s.idleLongEnough(in, x) {
			t.Errorf("%s: it drains at once", c.name)
		}
		in.Now += time.Duration(c.waited * float64(s.idleWindow(x, r.view.MachineTypes)))
		if got := s.idleLongEnough(in, x); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// idleFleet is a decision on so many large machines that are all idle.
func idleFleet(machines int) *ScaleInInput {
	view := storage.NewView(nil, 1)
	view.MachineTypes = testTypes()
	planner := newTestPlanner()
	in := &ScaleInInput{
		Now: time.Minute, View: view, Planner: planner,
		Claimed:      func(*storage.Machine) bool { return false },
		Changing:     func(*storage.Machine) bool { return false },
		TakeShardFor: func(*storage.Machine) int { return -1 },
	}
	for i := range machines {
		x := readySupply(planner)
		x.Machine = &storage.Machine{MachineEntry: storage.MachineEntry{Name: fmt.Sprintf("m-%03d", i), Phase: storage.PhaseActive}}
		in.Supplies = append(in.Supplies, x)
	}
	planner.Supplies = in.Supplies
	return in
}

// TestScaleInIsSlow: how many machines drain at a time.
func TestScaleInIsSlow(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		change   func(*ScaleIn, *ScaleInInput)
		want     int
	}{
		{"one of few", 5, func(*ScaleIn, *ScaleInInput) {}, 1},
		{"one more for every thirty-two", 64, func(*ScaleIn, *ScaleInInput) {}, 3},
		{"those that drain already count", 64, func(_ *ScaleIn, in *ScaleInInput) {
			in.Supplies[0].Machine.Phase, in.Supplies[0].Schedulable = storage.PhaseDraining, false
		}, 2},
		{"not below the least", 64, func(s *ScaleIn, _ *ScaleInInput) { s.MinMachines = 63 }, 1},
		{"not those whose record is being changed", 5, func(_ *ScaleIn, in *ScaleInInput) {
			in.Changing = func(*storage.Machine) bool { return true }
		}, 0},
		{"not what is kept for services", 2, func(_ *ScaleIn, in *ScaleInInput) {
			job := testJob(protocol.KindService, true)
			in.Spares = []Demand{{Job: job, Count: 8}} // two large machines
		}, 0},
	} {
		in := idleFleet(c.machines)
		s := NewScaleIn(ScaleInConfig{Below: 0.3})
		c.change(s, in)
		if got := len(s.Decide(in).Idle); got != c.want {
			t.Errorf("%s: %d, not %d", c.name, got, c.want)
		}
	}
}

// TestNeededDrainsEnd: which draining machines are taken back.
func TestNeededDrainsEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*ScaleInInput)
		want   int
	}{
		{"nobody needs it", func(*ScaleInInput) {}, 0},
		{"work of its shard is blocked", func(in *ScaleInInput) { in.Blocked = map[int]bool{0: true} }, 1},
		{"it must go all the same", func(in *ScaleInInput) {
			in.Blocked = map[int]bool{0: true}
			in.Supplies[0].MustLeave = true
		}, 0},
		{"it is claimed by another shard", func(in *ScaleInInput) {
			in.Blocked = map[int]bool{0: true}
			in.Claimed = func(*storage.Machine) bool { return true }
		}, 0},
		{"its replicas find no other place", func(in *ScaleInInput) { in.Supplies[0].HostsService = true }, 1},
	} {
		in := idleFleet(1)
		in.Supplies[0].Machine.Phase, in.Supplies[0].Schedulable = storage.PhaseDraining, false
		s := NewScaleIn(ScaleInConfig{Below: 0.3})
		c.change(in)
		first := s.Decide(in)
		in.Now += drainStuckAfter
		second := s.Decide(in)
		if got := max(len(first.Reactivate), len(second.Reactivate)); got != c.want {
			t.Errorf("%s: %d, not %d", c.name, got, c.want)
		}
	}
}

// TestConsolidation: a machine drains whose one replica has fitted on another machine for
// the whole window.
func TestConsolidation(t *testing.T) {
	const window = 25 * time.Second
	for _, c := range []struct {
		name   string
		change func(in *ScaleInInput, service *storage.Job)
		want   string
	}{
		{"the one with the replica", func(*ScaleInInput, *storage.Job) {}, "m-000"},
		{"none while work of the shard is blocked", func(in *ScaleInInput, _ *storage.Job) { in.Blocked = map[int]bool{0: true} }, ""},
		{"none where the replica fits nowhere else", func(in *ScaleInInput, _ *storage.Job) {
			in.Supplies[1].freeBesideServices = placement.Resources{}
		}, ""},
		{"none where replicas may not move", func(_ *ScaleInInput, service *storage.Job) { service.OneZone = true }, ""},
		{"none where the room is kept", func(in *ScaleInInput, service *storage.Job) {
			in.Spares = []Demand{{Job: service, Count: 4}} // the room of a large machine
		}, ""},
	} {
		in := idleFleet(2)
		service := testJob(protocol.KindService, true)
		service.Version = 1
		index := in.View.Jobs.Add("svc-1", service)
		in.Supplies[0].Machine.Intents = map[storage.TaskRef]storage.Intent{{Job: index}: {}}
		in.Supplies[0].HostsService = true
		c.change(in, service)
		s := NewScaleIn(ScaleInConfig{Window: window}) // none counts as idle
		first := s.Decide(in)
		in.Now += window
		second := s.Decide(in)
		got := ""
		if second.Consolidate != nil {
			got = second.Consolidate.Name
		}
		if first.Consolidate != nil || got != c.want {
			t.Errorf("%s: first %v, then %q", c.name, first.Consolidate, got)
		}
	}
}
