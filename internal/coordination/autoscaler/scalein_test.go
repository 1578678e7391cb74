package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestScaleInConditions checks that an idle machine drains after its window, and that any
// single condition that fails prevents the drain.
func TestScaleInConditions(t *testing.T) {
	const window = 25 * time.Second
	for _, c := range []struct {
		name    string
		blocked bool
		waited  float64 // in idle windows
		change  func(*Supply)
		want    bool
	}{
		{"idle for the window", false, 1, func(*Supply) {}, true},
		{"idle for less than the window", false, 0.9, func(*Supply) {}, false},
		{"unmet demand in its shard", true, 1, func(*Supply) {}, false},
		{"not ready", false, 1, func(supply *Supply) { supply.Ready = false }, false},
		{"not schedulable: silent, draining or faulty", false, 1, func(supply *Supply) { supply.Schedulable = false }, false},
		{"hosts a replica", false, 1, func(supply *Supply) { supply.HostsService = true }, false},
		{"half of the CPUs booked", false, 1, func(supply *Supply) { supply.free.CPUs /= 2 }, false},
	} {
		r := newTestRecords(t)
		m := r.machine()
		supply := NewSupply(&r.view.MachineTypes[m.TypeIndex], Pool{m.TypeIndex, m.ZoneIndex, m.Spot}, 0)
		supply.Machine, supply.Ready, supply.bootSecondsLeft = m, true, 0
		c.change(supply)
		s := NewScaleIn(ScaleInConfig{Window: window, IdleBelow: 0.3})
		in := &ScaleInInput{
			Now: time.Minute, View: r.view, Blocked: map[int]bool{0: c.blocked}, AssignShardFor: func(*storage.Machine) int { return -1 },
		}
		if s.idleLongEnough(in, supply) {
			t.Errorf("%s: drains at once", c.name)
		}
		in.Now += time.Duration(c.waited * float64(s.idleWindow(supply, r.view.MachineTypes)))
		if got := s.idleLongEnough(in, supply); got != c.want {
			t.Errorf("%s: drains: %v, want %v", c.name, got, c.want)
		}
	}
}

// newIdleFleetInput returns the input of a decision on the given number of large machines, all
// idle.
func newIdleFleetInput(machines int) *ScaleInInput {
	view := storage.NewView(nil, 1)
	view.MachineTypes = testTypes()
	planner := newTestPlanner()
	in := &ScaleInInput{
		Now: time.Minute, View: view, Planner: planner,
		Claimed:        func(*storage.Machine) bool { return false },
		Changing:       func(*storage.Machine) bool { return false },
		AssignShardFor: func(*storage.Machine) int { return -1 },
	}
	for i := range machines {
		supply := readySupply(planner)
		supply.Machine = &storage.Machine{MachineEntry: storage.MachineEntry{Name: fmt.Sprintf("m-%03d", i), Phase: storage.PhaseActive}}
		in.Supplies = append(in.Supplies, supply)
	}
	planner.Supplies = in.Supplies
	return in
}

// TestScaleInRateLimit checks the limits on how many machines drain at the same time.
func TestScaleInRateLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		change   func(*ScaleIn, *ScaleInInput)
		want     int
	}{
		{"one machine of a small fleet", 5, func(*ScaleIn, *ScaleInInput) {}, 1},
		{"one more for every 32 machines", 64, func(*ScaleIn, *ScaleInInput) {}, 3},
		{"machines that already drain count", 64, func(_ *ScaleIn, in *ScaleInInput) {
			in.Supplies[0].Machine.Phase, in.Supplies[0].Schedulable = storage.PhaseDraining, false
		}, 2},
		{"not below MinMachines", 64, func(s *ScaleIn, _ *ScaleInInput) { s.MinMachines = 63 }, 1},
		{"not machines whose record is being changed", 5, func(_ *ScaleIn, in *ScaleInInput) {
			in.Changing = func(*storage.Machine) bool { return true }
		}, 0},
		{"not the spare capacity for services", 2, func(_ *ScaleIn, in *ScaleInInput) {
			job := testJob(protocol.KindService, true)
			in.Spares = []Demand{{Job: job, Count: 8}} // fills two large machines
		}, 0},
	} {
		in := newIdleFleetInput(c.machines)
		s := NewScaleIn(ScaleInConfig{IdleBelow: 0.3})
		c.change(s, in)
		if got := len(s.Decide(in).Idle); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestReactivateNeededMachines checks which draining machines are reactivated.
func TestReactivateNeededMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*ScaleInInput)
		want   int
	}{
		{"no demand", func(*ScaleInInput) {}, 0},
		{"unmet demand in its shard", func(in *ScaleInInput) { in.Blocked = map[int]bool{0: true} }, 1},
		{"unmet demand, but the machine must drain", func(in *ScaleInInput) {
			in.Blocked = map[int]bool{0: true}
			in.Supplies[0].MustDrain = true
		}, 0},
		{"claimed for another shard", func(in *ScaleInInput) {
			in.Blocked = map[int]bool{0: true}
			in.Claimed = func(*storage.Machine) bool { return true }
		}, 0},
		{"replicas cannot be placed elsewhere", func(in *ScaleInInput) { in.Supplies[0].HostsService = true }, 1},
	} {
		in := newIdleFleetInput(1)
		in.Supplies[0].Machine.Phase, in.Supplies[0].Schedulable = storage.PhaseDraining, false
		s := NewScaleIn(ScaleInConfig{IdleBelow: 0.3})
		c.change(in)
		first := s.Decide(in)
		in.Now += drainStuckAfter
		second := s.Decide(in)
		if got := max(len(first.Reactivate), len(second.Reactivate)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestConsolidation checks that a machine drains after its only replica has fitted on another
// machine for the whole window.
func TestConsolidation(t *testing.T) {
	const window = 25 * time.Second
	for _, c := range []struct {
		name   string
		change func(in *ScaleInInput, service *storage.Job)
		want   string
	}{
		{"machine with the replica", func(*ScaleInInput, *storage.Job) {}, "m-000"},
		{"none while its shard has unmet demand", func(in *ScaleInInput, _ *storage.Job) { in.Blocked = map[int]bool{0: true} }, ""},
		{"none if the replica fits nowhere else", func(in *ScaleInInput, _ *storage.Job) {
			in.Supplies[1].freeBesideServices = placement.Resources{}
		}, ""},
		{"none if replicas must share a zone", func(_ *ScaleInInput, service *storage.Job) { service.OneZone = true }, ""},
		{"none if the free capacity is reserved as spare capacity", func(in *ScaleInInput, service *storage.Job) {
			in.Spares = []Demand{{Job: service, Count: 4}} // fills a large machine
		}, ""},
	} {
		in := newIdleFleetInput(2)
		service := testJob(protocol.KindService, true)
		service.Version = 1
		index := in.View.Jobs.Add("svc-1", service)
		in.Supplies[0].Machine.Intents = map[storage.TaskRef]storage.Intent{{Job: index}: {}}
		in.Supplies[0].HostsService = true
		c.change(in, service)
		s := NewScaleIn(ScaleInConfig{Window: window}) // the idle threshold is 0: no machine counts as idle
		first := s.Decide(in)
		in.Now += window
		second := s.Decide(in)
		got := ""
		if second.Consolidate != nil {
			got = second.Consolidate.Name
		}
		if first.Consolidate != nil || got != c.want {
			t.Errorf("%s: first %v, then %q, want none, then %q", c.name, first.Consolidate, got, c.want)
		}
	}
}
