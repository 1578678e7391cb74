package coordination

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// sole finds the types that are the only ones which some unfinished work fits.
func (l *leadership) soleMachineTypes() map[int]bool {
	b := l.controller.view
	out := map[int]bool{}
	b.Jobs.All(func(_ int, j *storage.Job) {
		if !j.Runnable() {
			return
		}
		only, n := 0, 0
		for typ := range b.MachineTypes {
			if b.FitsMachineType(j, typ) {
				only = typ
				n++
			}
		}
		if n == 1 {
			out[only] = true
		}
	})
	return out
}

// spares lists the services whose next replicas must find room at once: one
// entry for every shape of running service, with the number of replicas: some at
// least, and as many as are likely to come while a machine boots.
// Those on machines that have fallen silent or that the cloud takes come on top,
// so that room is on its way before they are known to be lost.
func (l *leadership) spareDemands(list []*machineSupply) []demand {
	n := l.controller
	var out []demand
	nowMS := n.Clock.Wall().UnixMilli()
	n.view.Jobs.All(func(_ int, j *storage.Job) {
		if j.Runnable() && j.IsService() && j.Shard >= 0 {
			out = append(out, demand{job: j, shard: j.Shard, count: 1})
		}
	})
	slices.SortFunc(out, func(a, b demand) int { return cmp.Compare(a.job.ID, b.job.ID) })
	shapes := mergeEqualDemands(out)
	arrived := map[taskShape]*[arrivalBins]int{}
	for _, d := range shapes {
		arrived[shapeOf(d)] = &[arrivalBins]int{}
	}
	for _, d := range out {
		if age := (nowMS - d.job.ReadyAtMS()) / arrivalBin.Milliseconds(); age >= 0 && age < arrivalBins {
			arrived[shapeOf(d)][age] += d.job.Tasks
		}
	}
	for i := range shapes {
		d := &shapes[i]
		d.count = max(min(d.count, n.Options.SpareReplicas), l.expectedReplicas(d.job, arrived[shapeOf(*d)]))
	}
	out = mergeEqualDemands(append(shapes, l.suspectReplicas(list)...))
	for i := range out {
		// Services that are spread need their room in more than one zone.
		out[i].spare = true
		if d := &out[i]; d.job.Spread && d.count > 1 {
			d.zoneCapacity = make([]int, n.view.ZoneNames.Len())
			for z := range d.zoneCapacity {
				d.zoneCapacity[z] = (d.count + 1) / 2
			}
		}
	}
	return out
}

// doubtfulReplicas lists the replicas on machines that fell silent.
func (l *leadership) suspectReplicas(list []*machineSupply) (out []demand) {
	for _, x := range list {
		if !x.suspect {
			continue
		}
		for _, ref := range sortedTasks(x.machine.Intents) {
			j := l.controller.view.Jobs.Get(ref.Job)
			if j.Ended() || !j.IsService() || j.Shard < 0 {
				continue
			}
			d := demand{job: j, shard: j.Shard, count: 1}
			if l.provisioner.partitionedZones[x.zone] {
				d.inPartitionedZone = 1
			}
			out = append(out, d)
		}
	}
	return out
}

// coming is how many replicas of a service's shape are likely to come while a
// machine boots that could take them.
func (l *leadership) expectedReplicas(j *storage.Job, bins *[arrivalBins]int) int {
	b := l.controller.view
	boot := 0.0
	for typ := range b.MachineTypes {
		if b.FitsMachineType(j, typ) && (boot == 0 || b.MachineTypes[typ].BootSeconds < boot) {
			boot = b.MachineTypes[typ].BootSeconds
		}
	}
	sum := 0
	for _, c := range slices.Sorted(slices.Values(bins[:]))[:arrivalBins*3/4] {
		sum += c
	}
	rate := float64(sum) / (arrivalBin.Seconds() * arrivalBins * 3 / 4)
	expect := rate * boot * 2
	return int(math.Ceil(expect + 2*math.Sqrt(expect*float64(max(j.Tasks, 1)))))
}

// slack is how many seconds are left until a task of a job must start if the job
// is to meet its deadline.
func (l *leadership) startSlackSeconds(j *storage.Job) float64 {
	if j.DeadlineSeconds <= 0 {
		return math.Inf(1)
	}
	return j.DeadlineSeconds - placement.ExpectedRunSeconds(j) - float64(l.controller.Clock.Wall().UnixMilli()-j.SubmittedAtMS)/1000
}

// shape is what makes demands alike.
type taskShape struct {
	shard, zone        int
	spot, spread       bool
	cpus, gpus, memory float64
	types              string
}

func shapeOf(d demand) taskShape {
	j := d.job
	return taskShape{d.shard, j.ZoneIndex, j.Spot, j.Spread && j.Tasks > 1, j.CPUs, j.GPUs, j.MemoryGB, strings.Join(j.Types, " ")}
}

// gather joins equal jobs of a home, in the place of the first.
func mergeEqualDemands(list []demand) []demand {
	at := map[taskShape]int{}
	var out []demand
	for _, d := range list {
		k := shapeOf(d)
		if i, ok := at[k]; ok {
			out[i].count += d.count
			out[i].inPartitionedZone += d.inPartitionedZone
			continue
		}
		at[k] = len(out)
		out = append(out, d)
	}
	return out
}

// demands lists what waits, home by home, in the order in which homes serve it,
// within the teams' limits.
func (l *leadership) demands() []demand {
	n := l.controller
	list, used := l.runnableJobs()
	inZones := l.tasksInZones(list)
	placement.Sort(list, false)
	var out []demand
	for _, w := range list {
		j := w.Job
		count := tasksWithinLimit(j, &n.view.Teams[j.TeamIndex], &used[j.TeamIndex])
		if count <= 0 {
			continue
		}
		zones := inZones[j.Index]
		for z, there := range zones {
			zones[z] = tasksAllowedInZone(j, count, there)
		}
		out = append(out, demand{job: j, shard: j.Shard, count: count, zoneCapacity: zones})
	}
	return out
}

// runnable lists the jobs with tasks to place, and what each team uses already.
func (l *leadership) runnableJobs() (list []placement.Candidate, used []quota.Usage) {
	n := l.controller
	used = make([]quota.Usage, len(n.view.Teams))
	wall := n.Clock.Wall()
	n.view.Jobs.All(func(_ int, j *storage.Job) {
		if j.TeamIndex < 0 {
			return
		}
		used[j.TeamIndex].CPUs += j.CPUs * float64(len(j.IntendedTasks))
		used[j.TeamIndex].GPUs += j.GPUs * float64(len(j.IntendedTasks))
		if j.Runnable() && j.Shard >= 0 && j.OpenTasks() > 0 {
			progress := placement.Progress{Remaining: j.Tasks - j.CompletedCount, Begun: j.RunningTasks() > 0 || j.CompletedCount > 0}
			list = append(list, placement.NewCandidate(j, n.view.EffectiveRank(j), progress, n.Settings.Cluster.Objectives, wall))
		}
	})
	return list, used
}

// tasksInZones counts, for each job of a list to which it matters, the tasks that may
// be in each zone.
func (l *leadership) tasksInZones(list []placement.Candidate) map[int][]int {
	n := l.controller
	counts := map[int][]int{}
	for _, w := range list {
		if j := w.Job; j.Spread && j.Tasks > 1 || j.OneZone && j.RunningTasks() > 0 {
			counts[j.Index] = make([]int, n.view.ZoneNames.Len())
		}
	}
	if len(counts) == 0 {
		return counts
	}
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		for ref := range m.Intents {
			if zones := counts[ref.Job]; zones != nil {
				zones[m.ZoneIndex]++
			}
		}
	})
	return counts
}

// withinLimit is how many of a job's open tasks the team's limit lets start, beside
// what it uses; it is added to that.
func tasksWithinLimit(j *storage.Job, t *storage.Team, used *quota.Usage) int {
	count := j.OpenTasks()
	for _, amount := range []struct{ used, each, limit float64 }{{used.CPUs, j.CPUs, t.MaxCPUs}, {used.GPUs, j.GPUs, t.MaxGPUs}} {
		if amount.limit > 0 && amount.each > 0 {
			count = min(count, int((amount.limit-amount.used)/amount.each+1e-6))
		}
	}
	if count > 0 {
		used.CPUs += float64(count) * j.CPUs
		used.GPUs += float64(count) * j.GPUs
	}
	return count
}

// zoneDemand is how many of a job's tasks may use room in a zone where some are already.
func tasksAllowedInZone(j *storage.Job, count, there int) int {
	// Tasks that share a zone can't use room in any other: counted as supply, or
	// rented anew each time it is given back, they would never get theirs.
	if j.OneZone && j.RunningTasks() > 0 && there == 0 {
		return 0
	}
	if j.Spread && j.Tasks > 1 {
		return max(0, (j.Tasks+1)/2-there)
	}
	return count
}
