package autoscaler

import (
	"reflect"
	"slices"
	"testing"

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

// newTestPlanner is a planner with nothing there and enough of everything allowed.
func newTestPlanner() *Planner {
	return &Planner{
		Catalogue: Catalogue{
			MachineTypes: testTypes(),
			ZoneIndex:    func(name string) int { return slices.Index([]string{"a", "b"}, name) },
			Fits:         func(*storage.Job, int) bool { return true },
		},
		Unavailable:    func(Pool) bool { return false },
		MachinesByPool: map[Pool]int{}, SoleTypes: map[int]bool{}, MachinesAllowed: 1000, CallsAllowed: 10, ScaleOutPatience: 2,
	}
}

// testJob has tasks that take a whole small machine or a quarter of a large one.
func testJob(kind string, spot bool) *storage.Job {
	return &storage.Job{ZoneIndex: -1, JobSpec: protocol.JobSpec{Kind: kind, CPUs: 4, MemoryGB: 8, Spot: spot, Tasks: 10, EstimateSeconds: 15}}
}

// TestScaleOuts: what is rented for ten tasks for which nothing is there.
func TestScaleOuts(t *testing.T) {
	small, large := Pool{typeSmall, zoneA, true}, Pool{typeLarge, zoneA, true}
	onDemand := func(pool Pool) Pool { return Pool{pool.MachineType, pool.Zone, false} }
	in := func(zone int, pool Pool) Pool { return Pool{pool.MachineType, zone, pool.Spot} }
	for _, c := range []struct {
		name   string
		change func(*Planner, *Demand)
		want   []ScaleOut
	}{
		{"whole machines of the larger of two equal types, and the rest on small ones", func(*Planner, *Demand) {},
			[]ScaleOut{{large, 0, 2}, {small, 0, 2}}},
		{"no spot machine for a job that may not use them", func(_ *Planner, d *Demand) { d.Job.Spot = false },
			[]ScaleOut{{onDemand(large), 0, 2}, {onDemand(small), 0, 2}}},
		{"the next pool where one was refused", func(p *Planner, _ *Demand) { p.Unavailable = func(pool Pool) bool { return pool == large } },
			[]ScaleOut{{in(zoneB, large), 0, 2}, {small, 0, 2}}},
		{"on-demand ones where all spot ones were refused", func(p *Planner, _ *Demand) { p.Unavailable = func(pool Pool) bool { return pool.Spot } },
			[]ScaleOut{{onDemand(large), 0, 2}, {onDemand(small), 0, 2}}},
		{"nothing where all were refused", func(p *Planner, _ *Demand) { p.Unavailable = func(Pool) bool { return true } }, nil},
		{"the zone with the fewest machines", func(p *Planner, _ *Demand) { p.MachinesByPool = map[Pool]int{large: 5, small: 5} },
			[]ScaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"no more machines than are allowed", func(p *Planner, _ *Demand) { p.MachinesAllowed = 3 },
			[]ScaleOut{{large, 0, 2}, {small, 0, 1}}},
		{"no more calls than are allowed", func(p *Planner, _ *Demand) { p.CallsAllowed = 1 },
			[]ScaleOut{{large, 0, 2}}},
		{"only in the zone that the job names", func(_ *Planner, d *Demand) { d.Job.ZoneIndex = zoneB },
			[]ScaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"one zone for tasks that must share it", func(p *Planner, d *Demand) {
			d.Job.OneZone = true
			p.MachinesByPool = map[Pool]int{large: 1}
		}, []ScaleOut{{in(zoneB, large), 0, 2}, {in(zoneB, small), 0, 2}}},
		{"as many in each zone as may be there", func(_ *Planner, d *Demand) { d.Count, d.zoneCapacity = 2, []int{1, 1} },
			[]ScaleOut{{small, 0, 1}, {in(zoneB, small), 0, 1}}},
		{"no type that is not allowed", func(p *Planner, _ *Demand) {
			p.Fits = func(_ *storage.Job, machineType int) bool { return machineType == typeSmall }
		}, []ScaleOut{{small, 0, 10}}},
		{"not the only type for other work, where that costs little", func(p *Planner, _ *Demand) { p.SoleTypes = map[int]bool{typeLarge: true} },
			[]ScaleOut{{small, 0, 10}}},
		{"nothing for tasks that no machine holds", func(_ *Planner, d *Demand) { d.Job.CPUs = 17 }, nil},
	} {
		p := newTestPlanner()
		d := Demand{Job: testJob(protocol.KindArray, true), Count: 10}
		c.change(p, &d)
		if got := p.ScaleOuts([]Demand{d}); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

// readySupply is an empty large machine that is up.
func readySupply(p *Planner) *Supply {
	x := NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)
	x.Ready, x.bootSecondsLeft = true, 0
	return x
}

// TestUnmet: how many of ten tasks are left over beside the machines that there are. A
// machine that boots is supply, once.
func TestUnmet(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   string
		change func(*Planner)
		want   int
	}{
		{"nothing is there", protocol.KindArray, func(*Planner) {}, 10},
		{"a machine that boots", protocol.KindService, func(p *Planner) {
			p.Supplies = []*Supply{NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, false}, 0)}
		}, 6},
		{"a spot machine for a service", protocol.KindService, func(p *Planner) { p.Supplies = []*Supply{readySupply(p)} }, 10},
		{"a machine of another shard", protocol.KindArray, func(p *Planner) {
			x := readySupply(p)
			x.Shard = 1
			p.Supplies = []*Supply{x}
		}, 10},
		{"a machine that takes nothing", protocol.KindArray, func(p *Planner) {
			x := readySupply(p)
			x.Schedulable = false
			p.Supplies = []*Supply{x}
		}, 10},
		// Four at once take 15 s. Six tenths of the time that is left to start are 24 s, in
		// the other 9 s of which two more get their 3.75 s of the whole machine.
		{"a machine that serves arrays in turns", protocol.KindArray, func(p *Planner) {
			p.Supplies = []*Supply{readySupply(p)}
			p.StartSlackSeconds = func(*storage.Job) float64 { return 40 }
		}, 4},
		// Six tenths of a boot are the least: 18 s, too few for another.
		{"and has little time", protocol.KindArray, func(p *Planner) {
			p.Supplies = []*Supply{readySupply(p)}
			p.StartSlackSeconds = func(*storage.Job) float64 { return 0 }
		}, 6},
		// Four at once, and the others within two boots of a new one.
		{"and has time for all", protocol.KindArray, func(p *Planner) { p.Supplies = []*Supply{readySupply(p)} }, 0},
		{"a machine that is busy beyond that", protocol.KindArray, func(p *Planner) {
			x := readySupply(p)
			x.free, x.reservedSeconds = placement.Resources{}, 60
			p.Supplies = []*Supply{x}
		}, 10},
	} {
		p := newTestPlanner()
		c.change(p)
		job := testJob(c.kind, c.kind == protocol.KindArray)
		left := 0
		for _, d := range p.Unmet([]Demand{{Job: job, Count: 10}}) {
			left += d.Count
		}
		if left != c.want {
			t.Errorf("%s: %d left, not %d", c.name, left, c.want)
		}
	}
}

// TestBootingMachineCountsOnce: what one job is promised on a machine that boots is not
// there for the next.
func TestBootingMachineCountsOnce(t *testing.T) {
	p := newTestPlanner()
	p.ScaleOutPatience = 0
	p.Supplies = []*Supply{NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)}
	var demands []Demand
	for range 2 {
		demands = append(demands, Demand{Job: testJob(protocol.KindArray, true), Count: 4})
	}
	left := p.Unmet(demands)
	if len(left) != 1 || left[0].Count != 4 || left[0].Job != demands[1].Job {
		t.Errorf("left over: %+v", left)
	}
}

// TestTurnsCountOnce: the time in which a machine serves one job is not there for the next.
func TestTurnsCountOnce(t *testing.T) {
	p := newTestPlanner()
	x := NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)
	x.bootSecondsLeft = 0
	p.Supplies = []*Supply{x}
	demands := []Demand{{Job: testJob(protocol.KindArray, true), Count: 14}, {Job: testJob(protocol.KindArray, true), Count: 14}}
	left := p.Unmet(demands)
	// 60 s of a machine that does four tasks in 15 s are sixteen tasks.
	if len(left) != 1 || left[0].Job != demands[1].Job || left[0].Count != 12 {
		t.Errorf("left over: %+v", left)
	}
}

// TestAllowedIn: how many of three tasks may go to a zone.
func TestAllowedIn(t *testing.T) {
	oneZone := &storage.Job{JobSpec: protocol.JobSpec{OneZone: true}}
	for _, c := range []struct {
		name     string
		job      *storage.Job
		capacity []int
		zone     int
		want     int
	}{
		{"no bound", &storage.Job{}, nil, zoneB, 3},
		{"a bound below the count", &storage.Job{}, []int{5, 2}, zoneB, 2},
		{"a bound above the count", &storage.Job{}, []int{5, 2}, zoneA, 3},
		{"a zone that came later", &storage.Job{}, []int{0}, zoneB, 3},
		{"a zone that came later, for tasks that share one", oneZone, []int{3}, zoneB, 0},
	} {
		d := Demand{Job: c.job, Count: 3, zoneCapacity: c.capacity}
		if got := d.AllowedIn(c.zone); got != c.want {
			t.Errorf("%s: %d, not %d", c.name, got, c.want)
		}
	}
}

// TestMergeEqual: demands of the same shape become one, in the place of the first; those of
// other shards or sizes stay.
func TestMergeEqual(t *testing.T) {
	small, large := testJob(protocol.KindService, false), testJob(protocol.KindService, false)
	large.CPUs = 8
	merged := mergeEqual([]Demand{
		{Job: small, Count: 1}, {Job: large, Count: 2}, {Job: small, Count: 3, InPartitionedZone: 1}, {Job: small, Shard: 1, Count: 4},
	})
	want := []Demand{{Job: small, Count: 4, InPartitionedZone: 1}, {Job: large, Count: 2}, {Job: small, Shard: 1, Count: 4}}
	if !reflect.DeepEqual(merged, want) {
		t.Errorf("%+v", merged)
	}
}

// TestTasksPerMachine: for how many tasks a small machine has room.
func TestTasksPerMachine(t *testing.T) {
	for _, c := range []struct {
		name string
		spec protocol.JobSpec
		want int
	}{
		{"by CPUs", protocol.JobSpec{CPUs: 1.5, MemoryGB: 1}, 2},
		{"by memory", protocol.JobSpec{CPUs: 1, MemoryGB: 20}, 1},
		{"rounded sums", protocol.JobSpec{CPUs: 4.0 / 3}, 3},
		{"too large", protocol.JobSpec{CPUs: 5}, 0},
		{"a GPU that it does not have", protocol.JobSpec{GPUs: 1}, 0},
		{"tasks that take nothing", protocol.JobSpec{}, 0},
	} {
		if got := TasksPerMachine(&testTypes()[typeSmall], &storage.Job{JobSpec: c.spec}); got != c.want {
			t.Errorf("%s: %d, not %d", c.name, got, c.want)
		}
	}
}
