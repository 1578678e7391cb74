package coordination

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// The machine types and zones of the tables below.
const (
	typeSmall = iota
	typeLarge
)

const (
	zoneA = iota
	zoneB
)

func testTypes() []protocol.MachineType {
	zones := []string{"a", "b"}
	return []protocol.MachineType{
		typeSmall: {Name: "small", CPUs: 4, MemoryGB: 32, HourlyPrice: 0.4, HourlySpotPrice: 0.1, BootSeconds: 30, Zones: zones},
		typeLarge: {Name: "large", CPUs: 16, MemoryGB: 128, HourlyPrice: 1.5, HourlySpotPrice: 0.4, BootSeconds: 30, Zones: zones},
	}
}

// testSizing is a decision with nothing there and enough of everything allowed.
func testSizing() *scalingInput {
	return &scalingInput{
		types:          testTypes(),
		zoneIndex:      func(name string) int { return slices.Index([]string{"a", "b"}, name) },
		unavailable:    func(machinePool) bool { return false },
		fits:           func(*storage.Job, int) bool { return true },
		machinesByPool: map[machinePool]int{}, soleTypes: map[int]bool{}, machinesAllowed: 1000, callsAllowed: 10, scaleOutPatience: 2,
	}
}

// testJob has tasks that take a whole small machine or a quarter of a large one.
func testJob(kind string, spot bool) *storage.Job {
	return &storage.Job{ZoneIndex: -1, JobSpec: protocol.JobSpec{Kind: kind, CPUs: 4, MemoryGB: 8, Spot: spot, Tasks: 10, EstimateSeconds: 15}}
}

// TestPlan: what is rented for ten tasks for which nothing is there.
func TestPlan(t *testing.T) {
	small, large := machinePool{typeSmall, zoneA, true}, machinePool{typeLarge, zoneA, true}
	ordinary := func(p machinePool) machinePool { return machinePool{p.machineType, p.zone, false} }
	in := func(zone int, p machinePool) machinePool { return machinePool{p.machineType, zone, p.spot} }
	for _, c := range []struct {
		name   string
		change func(*scalingInput, *demand)
		want   []scaleOut
	}{
		{"whole machines of the larger of two equal types, and the rest on small ones", func(*scalingInput, *demand) {},
			[]scaleOut{{large, 0, 2}, {small, 0, 2}}},
		{"no spot machine for a job that may not use them", func(_ *scalingInput, d *demand) { d.job.Spot = false },
			[]scaleOut{{ordinary(large), 0, 2}, {ordinary(small), 0, 2}}},
		{"the next pool where one was refused", func(s *scalingInput, _ *demand) { s.unavailable = func(p machinePool) bool { return p == large } },
			[]scaleOut{{in(zoneB, large), 0, 2}, {small, 0, 2}}},
		{"ordinary ones where all spot ones were refused", func(s *scalingInput, _ *demand) { s.unavailable = func(p machinePool) bool { return p.spot } },
			[]scaleOut{{ordinary(large), 0, 2}, {ordinary(small), 0, 2}}},
		{"nothing where all were refused", func(s *scalingInput, _ *demand) { s.unavailable = func(machinePool) bool { return true } }, nil},
		{"the zone with the fewest machines", func(s *scalingInput, _ *demand) { s.machinesByPool = map[machinePool]int{large: 5, small: 5} },
			[]scaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"no more machines than are allowed", func(s *scalingInput, _ *demand) { s.machinesAllowed = 3 },
			[]scaleOut{{large, 0, 2}, {small, 0, 1}}},
		{"no more calls than are allowed", func(s *scalingInput, _ *demand) { s.callsAllowed = 1 },
			[]scaleOut{{large, 0, 2}}},
		{"only in the zone that the job names", func(_ *scalingInput, d *demand) { d.job.ZoneIndex = zoneB },
			[]scaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"one zone for tasks that must share it", func(s *scalingInput, d *demand) {
			d.job.OneZone = true
			s.machinesByPool = map[machinePool]int{large: 1}
		}, []scaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"as many in each zone as may be there", func(_ *scalingInput, d *demand) { d.count, d.zoneCapacity = 2, []int{1, 1} },
			[]scaleOut{{small, 0, 1}, {in(zoneB, small), 0, 1}}},
		{"no type that is not allowed", func(s *scalingInput, _ *demand) {
			s.fits = func(_ *storage.Job, typ int) bool { return typ == typeSmall }
		}, []scaleOut{{small, 0, 10}}},
		{"not the only type for other work, where that costs little", func(s *scalingInput, _ *demand) { s.soleTypes = map[int]bool{typeLarge: true} },
			[]scaleOut{{small, 0, 10}}},
		{"nothing for tasks that no machine holds", func(_ *scalingInput, d *demand) { d.job.CPUs = 17 }, nil},
	} {
		s := testSizing()
		d := demand{job: testJob(protocol.KindArray, true), count: 10}
		c.change(s, &d)
		if got := s.planScaleOuts([]demand{d}); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

// TestUnmet: how many of ten tasks are left over beside the machines that there are. A
// machine that boots is supply, once.
func TestUnmet(t *testing.T) {
	up := func(s *scalingInput) *machineSupply {
		x := newMachineSupply(&s.types[typeLarge], machinePool{typeLarge, zoneA, true}, 0)
		x.ready, x.bootSecondsLeft = true, 0
		return x
	}
	for _, c := range []struct {
		name   string
		kind   string
		change func(*scalingInput)
		want   int
	}{
		{"nothing is there", protocol.KindArray, func(*scalingInput) {}, 10},
		{"a machine that boots", protocol.KindService, func(s *scalingInput) {
			s.supply = []*machineSupply{newMachineSupply(&s.types[typeLarge], machinePool{typeLarge, zoneA, false}, 0)}
		}, 6},
		{"a spot machine for a service", protocol.KindService, func(s *scalingInput) { s.supply = []*machineSupply{up(s)} }, 10},
		{"a machine of another home", protocol.KindArray, func(s *scalingInput) {
			x := up(s)
			x.shard = 1
			s.supply = []*machineSupply{x}
		}, 10},
		{"a machine that takes nothing", protocol.KindArray, func(s *scalingInput) {
			x := up(s)
			x.schedulable = false
			s.supply = []*machineSupply{x}
		}, 10},
		// Four at once take 15 s. Six tenths of the time that is left to start are 24 s, in
		// the other 9 s of which two more get their 3.75 s of the whole machine.
		{"a machine that serves arrays in turns", protocol.KindArray, func(s *scalingInput) {
			s.supply = []*machineSupply{up(s)}
			s.startSlackSeconds = func(*storage.Job) float64 { return 40 }
		}, 4},
		// Six tenths of a boot are the least: 18 s, too few for another.
		{"and has little time", protocol.KindArray, func(s *scalingInput) {
			s.supply = []*machineSupply{up(s)}
			s.startSlackSeconds = func(*storage.Job) float64 { return 0 }
		}, 6},
		// Four at once, and the others within two boots of a new one.
		{"and has time for all", protocol.KindArray, func(s *scalingInput) { s.supply = []*machineSupply{up(s)} }, 0},
		{"a machine that is busy beyond that", protocol.KindArray, func(s *scalingInput) {
			x := up(s)
			x.free, x.reservedSeconds = placement.Resources{}, 60
			s.supply = []*machineSupply{x}
		}, 10},
	} {
		s := testSizing()
		c.change(s)
		job := testJob(c.kind, c.kind == protocol.KindArray)
		s.demands = []demand{{job: job, count: 10}}
		left := 0
		for _, d := range s.unmetDemand() {
			left += d.count
		}
		if left != c.want {
			t.Errorf("%s: %d left, not %d", c.name, left, c.want)
		}
	}
}

// TestBootingMachineCountsOnce: what one job is promised on a machine that boots is not
// there for the next.
func TestBootingMachineCountsOnce(t *testing.T) {
	s := testSizing()
	s.scaleOutPatience = 0
	s.supply = []*machineSupply{newMachineSupply(&s.types[typeLarge], machinePool{typeLarge, zoneA, true}, 0)}
	for range 2 {
		s.demands = append(s.demands, demand{job: testJob(protocol.KindArray, true), count: 4})
	}
	left := s.unmetDemand()
	if len(left) != 1 || left[0].count != 4 || left[0].job != s.demands[1].job {
		t.Errorf("left over: %+v", left)
	}
}

// TestTurnsCountOnce: the time in which a machine serves one job is not there for the next.
func TestTurnsCountOnce(t *testing.T) {
	s := testSizing()
	x := newMachineSupply(&s.types[typeLarge], machinePool{typeLarge, zoneA, true}, 0)
	x.bootSecondsLeft = 0
	s.supply = []*machineSupply{x}
	s.demands = []demand{{job: testJob(protocol.KindArray, true), count: 14}, {job: testJob(protocol.KindArray, true), count: 14}}
	left := s.unmetDemand()
	// 60 s of a machine that does four tasks in 15 s are sixteen tasks.
	if len(left) != 1 || left[0].job != s.demands[1].job || left[0].count != 12 {
		t.Errorf("left over: %+v", left)
	}
}

// TestHeld: a condition counts once it has held for the whole window, without a gap.
func TestHeld(t *testing.T) {
	const window = 20 * time.Second
	var since time.Duration
	for _, step := range []struct {
		at         time.Duration
		cond, want bool
	}{
		{0, true, false}, {19 * time.Second, true, false}, {20*time.Second + 1, true, true},
		{25 * time.Second, false, false}, {26 * time.Second, true, false}, {45 * time.Second, true, false}, {46 * time.Second, true, true},
	} {
		if got := heldFor(step.cond, &since, step.at, window); got != step.want {
			t.Errorf("at %s: %v", step.at, got)
		}
	}
}

// TestEachConditionHoldsAReturnBack: an idle machine goes back after its window; any
// one of the conditions alone keeps it.
func TestEachConditionHoldsAReturnBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		blocked bool
		waited  float64 // windows
		change  func(*machineSupply)
		want    bool
	}{
		{"idle for the window", false, 1, func(*machineSupply) {}, true},
		{"not for as long", false, 0.9, func(*machineSupply) {}, false},
		{"work of its home is blocked", true, 1, func(*machineSupply) {}, false},
		{"not up", false, 1, func(x *machineSupply) { x.ready = false }, false},
		{"silent, draining or faulty", false, 1, func(x *machineSupply) { x.schedulable = false }, false},
		{"a replica is on it", false, 1, func(x *machineSupply) { x.hostsService = true }, false},
		{"booked by half", false, 1, func(x *machineSupply) { x.free.CPUs /= 2 }, false},
	} {
		b := newTestController(t)
		f := b.becomeLeader()
		_, m := b.controller.view.Machines.Find("m-1")
		x := newMachineSupply(&b.controller.view.MachineTypes[m.TypeIndex], machinePool{m.TypeIndex, m.ZoneIndex, m.Spot}, 0)
		x.machine, x.ready, x.bootSecondsLeft = m, true, 0
		c.change(x)
		if f.idleLongEnough(b.now, x, c.blocked) {
			t.Errorf("%s: it goes at once", c.name)
		}
		later := b.now + time.Duration(c.waited*float64(f.idleWindow(x)))
		if got := f.idleLongEnough(later, x, c.blocked); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
