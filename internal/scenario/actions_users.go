package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
)

// Actions of the users: jobs come, are cancelled, and are asked about.

func actSubmit(sim *simulation, line *statement) func() {
	j := sim.parseJob(line)
	switch when := line.text("when", "now"); when {
	case "accepted", "over":
		return func() { sim.users.submitWhen(j, when == "over") }
	case "now":
	default:
		line.fail("submit: when %s", when)
	}
	return func() { sim.users.submitFirst(j) }
}

func actStream(sim *simulation, line *statement) func() {
	// Many like jobs: one every so often, with ids that count up.
	id, every, count := line.arg(0), line.duration(line.text("every", "1s")), int(line.number("count", 10))
	prefix, number, _ := strings.Cut(id, "-")
	first, err := strconv.Atoi(number)
	if err != nil {
		line.fail("stream: %v", err)
	}
	cancelled, after := line.number("cancelled", 0), line.duration(line.text("after", "5s"))
	behind := int(line.number("behind", -1)) // the first of as many jobs of which each needs one
	var jobs []*userJob
	for i := range count {
		line.args[0] = fmt.Sprintf("%s-%d", prefix, first+i)
		j := sim.parseJob(line)
		if behind >= 0 {
			j.spec.Dependencies = append(j.spec.Dependencies, fmt.Sprintf("%s-%d", prefix, behind+i))
		}
		jobs = append(jobs, j)
	}
	return func() {
		for i, j := range jobs {
			sim.after(time.Duration(i)*every, func() {
				sim.users.submitFirst(j)
				if sim.rand.Float64() < cancelled {
					sim.after(time.Duration(sim.rand.Int64N(int64(after))), func() { sim.users.cancel(j) })
				}
			})
		}
	}
}

func actCancel(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() {
		if j := sim.users.jobs[id]; j != nil {
			sim.users.cancel(j)
		}
	}
}

func actCancelRunning(sim *simulation, line *statement) func() {
	count, hang := int(line.number("count", 10)), line.duration(line.text("pause", "0s"))
	return func() { sim.users.cancelRunning(count, hang) }
}

func actCancelOnCompletion(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.users.cancelOnCompletionShare = share }
}

func actHealthyControllersOnly(sim *simulation, line *statement) func() {
	on := line.arg(0) == "on"
	return func() { sim.users.healthyControllersOnly = on }
}

func actReadYourWrites(sim *simulation, line *statement) func() {
	d := line.duration(line.arg(0))
	cancelled := line.number("cancelled", 0)
	return func() {
		sim.noteFault("read-your-writes", d)
		sim.users.probeUntil, sim.users.cancelOnAcceptShare = sim.now+d, cancelled
	}
}

func actInvalidRequests(sim *simulation, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		sim.noteFault("invalid-requests", d)
		sim.users.sendInvalid(sim.now + d)
	}
}

func actCheckLiveness(sim *simulation, line *statement) func() {
	return sim.checker.checkLiveness
}

// job reads the description of a job.
func (s *simulation) parseJob(line *statement) *userJob {
	spec := protocol.JobSpec{
		ID: line.arg(0), Class: line.text("class", "c"), Team: line.text("team", "red"), Priority: line.text("priority", "normal"),
		Tasks: int(line.number("tasks", 1)), CPUs: line.number("cpus", 1), MemoryGB: line.number("mem", 1), Image: line.text("image", "img"), ImageGB: line.number("image-gb", 1),
		Zone: line.text("zone", ""), OneZone: line.text("one-zone", "") != "", Spread: line.text("spread", "") != "", Spot: line.text("spot", "") != "",
		EstimateSeconds: line.number("estimate", 10), CheckpointSeconds: line.number("checkpoint", 0), SaveSeconds: line.number("save", 0), DeadlineSeconds: line.number("deadline", 0),
	}
	switch kind := line.text("kind", "array"); kind {
	case "array":
		spec.Kind = protocol.KindArray
	case "service":
		spec.Kind = protocol.KindService
	case "gang":
		spec.Kind = protocol.KindGang
	default:
		line.fail("kind %s", kind)
	}
	if needs := line.text("dependencies", ""); needs != "" {
		spec.Dependencies = strings.Split(needs, ",")
	}
	if t := line.text("types", ""); t != "" {
		spec.Types = strings.Split(t, ",")
	}
	var runs []float64 // of the first tasks, where they differ
	if list := line.text("runs", ""); list != "" {
		for _, v := range strings.Split(list, ",") {
			f, err := strconv.ParseFloat(v, 64)
			if err != nil {
				line.fail("%s: %v", line.verb, err)
			}
			runs = append(runs, f)
		}
	}
	return &userJob{spec: spec, runSeconds: line.number("run", 10), taskRunSeconds: runs, failsEverywhere: line.text("broken", "") != "", resubmissions: int(line.number("repeats", 0))}
}
