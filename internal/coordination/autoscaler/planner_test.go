package autoscaler

import (
	"reflect"
	"slices"
	"testing"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Indices of the machine types in the test catalogue.
const (
	typeSmall = iota
	typeLarge
)

// Indices of the zones in the test catalogue.
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

// newTestPlanner returns a planner without supply whose limits do not constrain scale-out.
func newTestPlanner() *Planner {
	return &Planner{
		Catalogue: Catalogue{
			MachineTypes: testTypes(),
			ZoneIndex:    func(name string) int { return slices.Index([]string{"a", "b"}, name) },
			Fits:         func(*storage.Job, int) bool { return true },
		},
		Unavailable:    func(Pool) bool { return false },
		MachinesByPool: map[Pool]int{}, SoleTypes: map[int]bool{}, MachinesAllowed: 1000, CallsAllowed: 10, ScaleOutWaitFactor: 2,
	}
}

// testJob returns a job whose tasks occupy a whole small machine or a quarter of a large one.
func testJob(kind string, spot bool) *storage.Job {
	return &storage.Job{ZoneIndex: -1, JobSpec: protocol.JobSpec{Kind: kind, CPUs: 4, MemoryGB: 8, Spot: spot, Tasks: 10, EstimateSeconds: 15}}
}

// TestTasksPerMachineIsBounded guards against tasks that wait for ever on a fleet that seems large
// enough: an agent's heartbeats name a limited number of tasks, however small these are.
func TestTasksPerMachineIsBounded(t *testing.T) {
	large := testTypes()[typeLarge]
	tiny := &storage.Job{JobSpec: protocol.JobSpec{CPUs: 0.001, MemoryGB: 0.001}}
	if count := TasksPerMachine(&large, tiny); count != protocol.MaxTasksPerMachine {
		t.Errorf("%d tasks per machine, want %d", count, protocol.MaxTasksPerMachine)
	}
	tiny.Kind, tiny.Tasks, tiny.ZoneIndex = protocol.KindService, 2*protocol.MaxTasksPerMachine+1, -1
	machines := 0
	for _, scaleOut := range newTestPlanner().ScaleOuts([]Demand{{Job: tiny, Count: tiny.Tasks}}) {
		machines += scaleOut.Count
	}
	if machines != 3 {
		t.Errorf("%d machines for %d tasks, want 3", machines, tiny.Tasks)
	}
}

// TestScaleOuts checks which machines are planned for ten tasks without any supply.
func TestScaleOuts(t *testing.T) {
	small, large := Pool{typeSmall, zoneA, true}, Pool{typeLarge, zoneA, true}
	onDemand := func(pool Pool) Pool { return Pool{pool.MachineType, pool.Zone, false} }
	inZone := func(zone int, pool Pool) Pool { return Pool{pool.MachineType, zone, pool.Spot} }
	for _, c := range []struct {
		name   string
		change func(*Planner, *Demand)
		want   []ScaleOut
	}{
		{"full machines of the larger of two types with equal cost per task, small ones for the remainder", func(*Planner, *Demand) {},
			[]ScaleOut{{large, 0, 2}, {small, 0, 2}}},
		{"on-demand machines for a job that does not allow spot", func(_ *Planner, d *Demand) { d.Job.Spot = false },
			[]ScaleOut{{onDemand(large), 0, 2}, {onDemand(small), 0, 2}}},
		{"next pool if the best is unavailable", func(p *Planner, _ *Demand) { p.Unavailable = func(pool Pool) bool { return pool == large } },
			[]ScaleOut{{inZone(zoneB, large), 0, 2}, {small, 0, 2}}},
		{"on-demand machines if all spot pools are unavailable", func(p *Planner, _ *Demand) { p.Unavailable = func(pool Pool) bool { return pool.Spot } },
			[]ScaleOut{{onDemand(large), 0, 2}, {onDemand(small), 0, 2}}},
		{"nothing if all pools are unavailable", func(p *Planner, _ *Demand) { p.Unavailable = func(Pool) bool { return true } }, nil},
		{"zone with the fewest machines", func(p *Planner, _ *Demand) { p.MachinesByPool = map[Pool]int{large: 5, small: 5} },
			[]ScaleOut{{inZone(zoneB, large), 0, 2}, {inZone(zoneB, small), 0, 2}}},
		{"limit on machines", func(p *Planner, _ *Demand) { p.MachinesAllowed = 3 },
			[]ScaleOut{{large, 0, 2}, {small, 0, 1}}},
		{"limit on calls", func(p *Planner, _ *Demand) { p.CallsAllowed = 1 },
			[]ScaleOut{{large, 0, 2}}},
		{"zone required by the job", func(_ *Planner, d *Demand) { d.Job.ZoneIndex = zoneB },
			[]ScaleOut{{inZone(zoneB, large), 0, 2}, {inZone(zoneB, small), 0, 2}}},
		{"single zone for tasks that must share a zone", func(p *Planner, d *Demand) {
			d.Job.OneZone = true
			p.MachinesByPool = map[Pool]int{large: 1}
		}, []ScaleOut{{inZone(zoneB, large), 0, 2}, {inZone(zoneB, small), 0, 2}}},
		{"limit on tasks per zone", func(_ *Planner, d *Demand) { d.Count, d.zoneCapacity = 2, []int{1, 1} },
			[]ScaleOut{{small, 0, 1}, {inZone(zoneB, small), 0, 1}}},
		{"only types that fit the job", func(p *Planner, _ *Demand) {
			p.Fits = func(_ *storage.Job, machineType int) bool { return machineType == typeSmall }
		}, []ScaleOut{{small, 0, 10}}},
		{"no sole type of another job if another type costs little more", func(p *Planner, _ *Demand) { p.SoleTypes = map[int]bool{typeLarge: true} },
			[]ScaleOut{{small, 0, 10}}},
		{"nothing for tasks too large for any machine", func(_ *Planner, d *Demand) { d.Job.CPUs = 17 }, nil},
	} {
		p := newTestPlanner()
		d := Demand{Job: testJob(protocol.KindArray, true), Count: 10}
		c.change(p, &d)
		if got := p.ScaleOuts([]Demand{d}); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// readySupply returns the supply of an empty large spot machine that is up.
func readySupply(p *Planner) *Supply {
	supply := NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)
	supply.Ready, supply.bootSecondsLeft = true, 0
	return supply
}

// TestUnmet checks how many of ten tasks remain unmet with the given supply. A booting machine
// counts as supply, once.
func TestUnmet(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   string
		change func(*Planner)
		want   int
	}{
		{"no machines", protocol.KindArray, func(*Planner) {}, 10},
		{"booting machine", protocol.KindService, func(p *Planner) {
			p.Supplies = []*Supply{NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, false}, 0)}
		}, 6},
		{"spot machine for a service that does not allow spot", protocol.KindService, func(p *Planner) { p.Supplies = []*Supply{readySupply(p)} }, 10},
		{"machine of another shard", protocol.KindArray, func(p *Planner) {
			supply := readySupply(p)
			supply.Shard = 1
			p.Supplies = []*Supply{supply}
		}, 10},
		{"unschedulable machine", protocol.KindArray, func(p *Planner) {
			supply := readySupply(p)
			supply.Schedulable = false
			p.Supplies = []*Supply{supply}
		}, 10},
		// Four concurrent tasks take 15 s. The horizon is 0.6 of the 40 s slack, 24 s; the
		// remaining 9 s are enough for two more tasks at 3.75 s of the whole machine each.
		{"turnover limited by the start slack", protocol.KindArray, func(p *Planner) {
			p.Supplies = []*Supply{readySupply(p)}
			p.StartSlackSeconds = func(*storage.Job) float64 { return 40 }
		}, 4},
		// The horizon is at least 0.6 of the boot time: 18 s, too short for a fifth task.
		{"turnover without start slack", protocol.KindArray, func(p *Planner) {
			p.Supplies = []*Supply{readySupply(p)}
			p.StartSlackSeconds = func(*storage.Job) float64 { return 0 }
		}, 6},
		// Four tasks run at once; the others run within two boot times of a new machine.
		{"turnover for all tasks", protocol.KindArray, func(p *Planner) { p.Supplies = []*Supply{readySupply(p)} }, 0},
		{"machine busy beyond the horizon", protocol.KindArray, func(p *Planner) {
			supply := readySupply(p)
			supply.free, supply.reservedSeconds = placement.Resources{}, 60
			p.Supplies = []*Supply{supply}
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
			t.Errorf("%s: %d unmet, want %d", c.name, left, c.want)
		}
	}
}

// TestBootingMachineCapacityCountsOnce checks that capacity of a booting machine that is
// assigned to one job is not available to the next job.
func TestBootingMachineCapacityCountsOnce(t *testing.T) {
	p := newTestPlanner()
	p.ScaleOutWaitFactor = 0
	p.Supplies = []*Supply{NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)}
	var demands []Demand
	for range 2 {
		demands = append(demands, Demand{Job: testJob(protocol.KindArray, true), Count: 4})
	}
	left := p.Unmet(demands)
	if len(left) != 1 || left[0].Count != 4 || left[0].Job != demands[1].Job {
		t.Errorf("unmet: %+v", left)
	}
}

// TestTurnoverCountsOnce checks that machine time reserved for one job is not available to the
// next job.
func TestTurnoverCountsOnce(t *testing.T) {
	p := newTestPlanner()
	supply := NewSupply(&p.MachineTypes[typeLarge], Pool{typeLarge, zoneA, true}, 0)
	supply.bootSecondsLeft = 0
	p.Supplies = []*Supply{supply}
	demands := []Demand{{Job: testJob(protocol.KindArray, true), Count: 14}, {Job: testJob(protocol.KindArray, true), Count: 14}}
	left := p.Unmet(demands)
	// In 60 s, a machine that runs four tasks per 15 s serves sixteen of the 28 tasks.
	if len(left) != 1 || left[0].Job != demands[1].Job || left[0].Count != 12 {
		t.Errorf("unmet: %+v", left)
	}
}

// TestAllowedIn checks how many of three tasks may be placed in a zone.
func TestAllowedIn(t *testing.T) {
	oneZone := &storage.Job{JobSpec: protocol.JobSpec{OneZone: true}}
	for _, c := range []struct {
		name     string
		job      *storage.Job
		capacity []int
		zone     int
		want     int
	}{
		{"no limit", &storage.Job{}, nil, zoneB, 3},
		{"limit below the count", &storage.Job{}, []int{5, 2}, zoneB, 2},
		{"limit above the count", &storage.Job{}, []int{5, 2}, zoneA, 3},
		{"zone added later", &storage.Job{}, []int{0}, zoneB, 3},
		{"zone added later, tasks that must share a zone", oneZone, []int{3}, zoneB, 0},
	} {
		d := Demand{Job: c.job, Count: 3, zoneCapacity: c.capacity}
		if got := d.AllowedIn(c.zone); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestMergeEqual checks that demands of the same shape are merged into the first one, and that
// demands of other shards or sizes stay separate.
func TestMergeEqual(t *testing.T) {
	small, large := testJob(protocol.KindService, false), testJob(protocol.KindService, false)
	large.CPUs = 8
	merged := mergeEqual([]Demand{
		{Job: small, Count: 1}, {Job: large, Count: 2}, {Job: small, Count: 3, InPartitionedZone: 1}, {Job: small, Shard: 1, Count: 4},
	})
	want := []Demand{{Job: small, Count: 4, InPartitionedZone: 1}, {Job: large, Count: 2}, {Job: small, Shard: 1, Count: 4}}
	if !reflect.DeepEqual(merged, want) {
		t.Errorf("merged %+v, want %+v", merged, want)
	}
}

// TestTasksPerMachine checks how many tasks fit on a small machine.
func TestTasksPerMachine(t *testing.T) {
	for _, c := range []struct {
		name string
		spec protocol.JobSpec
		want int
	}{
		{"limited by CPUs", protocol.JobSpec{CPUs: 1.5, MemoryGB: 1}, 2},
		{"limited by memory", protocol.JobSpec{CPUs: 1, MemoryGB: 20}, 1},
		{"rounding error", protocol.JobSpec{CPUs: 4.0 / 3}, 3},
		{"too many CPUs", protocol.JobSpec{CPUs: 5}, 0},
		{"GPU on a machine without GPUs", protocol.JobSpec{GPUs: 1}, 0},
		{"tasks without resource needs", protocol.JobSpec{}, 0},
	} {
		if got := TasksPerMachine(&testTypes()[typeSmall], &storage.Job{JobSpec: c.spec}); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
