package coordination

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"rockrun/internal/bookkeeping"
)

// sole finds the types that are the only ones which some unfinished work fits.
func (l *leadership) sole() map[int]bool {
	b := l.n.cache
	out := map[int]bool{}
	b.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if !j.Runnable() {
			return
		}
		only, n := 0, 0
		for typ := range b.Types {
			if b.Fits(j, typ) {
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
func (l *leadership) spares(list []*supply) []demand {
	n := l.n
	var out []demand
	nowMS := n.Clock.Wall().UnixMilli()
	n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Runnable() && j.Standing() && j.Home >= 0 {
			out = append(out, demand{job: j, shard: j.Home, count: 1})
		}
	})
	slices.SortFunc(out, func(a, b demand) int { return cmp.Compare(a.job.ID, b.job.ID) })
	shapes := gather(out)
	arrived := map[shape]*[arrivalBins]int{}
	for _, d := range shapes {
		arrived[shapeOf(d)] = &[arrivalBins]int{}
	}
	for _, d := range out {
		if age := (nowMS - d.job.ReadyMS()) / arrivalBin.Milliseconds(); age >= 0 && age < arrivalBins {
			arrived[shapeOf(d)][age] += d.job.Tasks
		}
	}
	for i := range shapes {
		d := &shapes[i]
		d.count = max(min(d.count, n.Options.ServiceSpare), l.coming(d.job, arrived[shapeOf(*d)]))
	}
	out = gather(append(shapes, l.doubtfulReplicas(list)...))
	for i := range out {
		// Services that are spread need their room in more than one zone.
		out[i].spare = true
		if d := &out[i]; d.job.Spread && d.count > 1 {
			d.zones = make([]int, n.cache.ZoneNames.Len())
			for z := range d.zones {
				d.zones[z] = (d.count + 1) / 2
			}
		}
	}
	return out
}

// doubtfulReplicas lists the replicas on machines that fell silent.
func (l *leadership) doubtfulReplicas(list []*supply) (out []demand) {
	for _, x := range list {
		if !x.doubtful {
			continue
		}
		for _, ref := range refs(x.m.Intents) {
			j := l.n.cache.Jobs.Get(ref.Job)
			if j.Over() || !j.Standing() || j.Home < 0 {
				continue
			}
			d := demand{job: j, shard: j.Home, count: 1}
			if l.fleet.cutOff[x.zone] {
				d.lost = 1
			}
			out = append(out, d)
		}
	}
	return out
}

// coming is how many replicas of a service's shape are likely to come while a
// machine boots that could take them.
func (l *leadership) coming(j *bookkeeping.Job, bins *[arrivalBins]int) int {
	b := l.n.cache
	boot := 0.0
	for typ := range b.Types {
		if b.Fits(j, typ) && (boot == 0 || b.Types[typ].BootS < boot) {
			boot = b.Types[typ].BootS
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
func (l *leadership) slack(j *bookkeeping.Job) float64 {
	if j.DeadlineS <= 0 {
		return math.Inf(1)
	}
	return j.DeadlineS - runS(j) - float64(l.n.Clock.Wall().UnixMilli()-j.AtMS)/1000
}

// shape is what makes demands alike.
type shape struct {
	shard, zone        int
	spot, spread       bool
	cpus, gpus, memory float64
	types              string
}

func shapeOf(d demand) shape {
	j := d.job
	return shape{d.shard, j.ZoneIdx, j.Spot, j.Spread && j.Tasks > 1, j.CPUs, j.GPUs, j.MemoryGB, strings.Join(j.Types, " ")}
}

// gather joins equal jobs of a home, in the place of the first.
func gather(list []demand) []demand {
	at := map[shape]int{}
	var out []demand
	for _, d := range list {
		k := shapeOf(d)
		if i, ok := at[k]; ok {
			out[i].count += d.count
			out[i].lost += d.lost
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
	n := l.n
	list, used := l.runnable()
	inZones := l.tasksInZones(list)
	order(list, false)
	var out []demand
	for _, w := range list {
		j := w.job
		count := withinLimit(j, &n.cache.Teams[j.TeamIdx], &used[j.TeamIdx])
		if count <= 0 {
			continue
		}
		zones := inZones[j.Index]
		for z, there := range zones {
			zones[z] = zoneDemand(j, count, there)
		}
		out = append(out, demand{job: j, shard: j.Home, count: count, zones: zones})
	}
	return out
}

// runnable lists the jobs with tasks to place, and what each team uses already.
func (l *leadership) runnable() (list []waiting, used []usage) {
	n := l.n
	used = make([]usage, len(n.cache.Teams))
	nowMS := n.Clock.Wall().UnixMilli()
	n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.TeamIdx < 0 {
			return
		}
		used[j.TeamIdx].cpus += j.CPUs * float64(len(j.Intended))
		used[j.TeamIdx].gpus += j.GPUs * float64(len(j.Intended))
		if j.Runnable() && j.Home >= 0 && j.Open() > 0 {
			w := waiting{job: j, rank: n.cache.EffectiveRank(j)}
			w.rate(j.Tasks-j.DoneN, j.Running() > 0 || j.DoneN > 0, n.Settings.Cluster.Objectives, nowMS)
			list = append(list, w)
		}
	})
	return list, used
}

// tasksInZones counts, for each job of a list to which it matters, the tasks that may
// be in each zone.
func (l *leadership) tasksInZones(list []waiting) map[int][]int {
	n := l.n
	counts := map[int][]int{}
	for _, w := range list {
		if j := w.job; j.Spread && j.Tasks > 1 || j.OneZone && j.Running() > 0 {
			counts[j.Index] = make([]int, n.cache.ZoneNames.Len())
		}
	}
	if len(counts) == 0 {
		return counts
	}
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		for ref := range m.Intents {
			if zones := counts[ref.Job]; zones != nil {
				zones[m.ZoneIdx]++
			}
		}
	})
	return counts
}

// withinLimit is how many of a job's open tasks the team's limit lets start, beside
// what it uses; it is added to that.
func withinLimit(j *bookkeeping.Job, t *bookkeeping.Team, used *usage) int {
	count := j.Open()
	for _, amount := range []struct{ used, each, limit float64 }{{used.cpus, j.CPUs, t.CPUsMax}, {used.gpus, j.GPUs, t.GPUsMax}} {
		if amount.limit > 0 && amount.each > 0 {
			count = min(count, int((amount.limit-amount.used)/amount.each+1e-6))
		}
	}
	if count > 0 {
		used.cpus += float64(count) * j.CPUs
		used.gpus += float64(count) * j.GPUs
	}
	return count
}

// zoneDemand is how many of a job's tasks may use room in a zone where some are already.
func zoneDemand(j *bookkeeping.Job, count, there int) int {
	// Tasks that share a zone can't use room in any other: counted as supply, or
	// rented anew each time it is given back, they would never get theirs.
	if j.OneZone && j.Running() > 0 && there == 0 {
		return 0
	}
	if j.Spread && j.Tasks > 1 {
		return max(0, (j.Tasks+1)/2-there)
	}
	return count
}
