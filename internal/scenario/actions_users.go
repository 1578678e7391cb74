package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
)

// Actions of the users: jobs come, are cancelled, and are asked about.

// When a job is submitted.
const (
	whenNow      = "now"
	whenAccepted = "accepted" // its dependencies are accepted
	whenOver     = "over"     // its dependencies are over
)

// actSubmit: "submit run-1 when=accepted" and the arguments of a job, see parseJob.
func actSubmit(sim *simulation, line *statement) func() {
	job := parseJob(line)
	switch when := line.text("when", whenNow); when {
	case whenAccepted, whenOver:
		return func() { sim.users.submitWhen(job, when == whenOver) }
	case whenNow:
	default:
		line.fail("submit: when %s", when)
	}
	return func() { sim.users.submitFirst(job) }
}

// actStream: "stream run-100 every=1s count=10 cancelled=0.2 after=5s behind=200" submits
// like jobs, one every so often, with ids that count up. A share is cancelled soon after;
// with behind each depends on one of as many jobs, of which that is the first.
func actStream(sim *simulation, line *statement) func() {
	every := line.duration(line.text("every", "1s"))
	cancelled, cancelWithin := line.number("cancelled", 0), line.duration(line.text("after", "5s"))
	jobs := parseStream(line)
	return func() {
		for i, job := range jobs {
			sim.after(time.Duration(i)*every, func() {
				sim.users.submitFirst(job)
				if sim.rand.Float64() < cancelled {
					sim.after(sim.randomBelow(cancelWithin), func() { sim.users.cancel(job) })
				}
			})
		}
	}
}

// parseStream reads the description of a stream of jobs.
func parseStream(line *statement) (jobs []*userJob) {
	prefix, number, _ := strings.Cut(line.arg(0), "-")
	first, err := strconv.Atoi(number)
	if err != nil {
		line.fail("stream: %v", err)
	}
	behind := int(line.number("behind", -1))
	for i := range int(line.number("count", 10)) {
		line.args[0] = fmt.Sprintf("%s-%d", prefix, first+i)
		job := parseJob(line)
		if behind >= 0 {
			job.spec.Dependencies = append(job.spec.Dependencies, fmt.Sprintf("%s-%d", prefix, behind+i))
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// actCancel: "cancel run-1".
func actCancel(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() {
		if job := sim.users.jobs[id]; job != nil {
			sim.users.cancel(job)
		}
	}
}

// actCancelRunning: "cancel-running count=10 pause=20s" cancels arrays that run, while
// some of their machines pause.
func actCancelRunning(sim *simulation, line *statement) func() {
	count, pause := int(line.number("count", 10)), line.duration(line.text("pause", "0s"))
	return func() { sim.users.cancelRunning(count, pause) }
}

// actCancelOnCompletion: "cancel-on-completion share=0.5" cancels jobs at the moment when
// their last task completes; share=0 ends it.
func actCancelOnCompletion(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.users.cancelOnCompletionShare = share }
}

// actHealthyControllersOnly: "healthy-controllers-only on" sends users to controllers that
// the store serves; off ends it.
func actHealthyControllersOnly(sim *simulation, line *statement) func() {
	on := line.arg(0) == "on"
	return func() { sim.users.healthyControllersOnly = on }
}

// actReadYourWrites: "read-your-writes 60s cancelled=0.1" lets users ask every controller
// right after each answer, and cancel a share of the jobs as soon as they are accepted.
func actReadYourWrites(sim *simulation, line *statement) func() {
	lasting := line.duration(line.arg(0))
	cancelled := line.number("cancelled", 0)
	return func() {
		sim.faults.record("read-your-writes", lasting)
		sim.users.probeUntil, sim.users.cancelOnAcceptShare = sim.now+lasting, cancelled
	}
}

// actInvalidRequests: "invalid-requests 60s" lets users make requests that they should not.
func actInvalidRequests(sim *simulation, line *statement) func() {
	lasting := line.duration(line.arg(0))
	return func() {
		sim.faults.record("invalid-requests", lasting)
		sim.users.sendInvalid(sim.now + lasting)
	}
}

// actCheckLiveness: "check-liveness" says that all faults are over.
func actCheckLiveness(sim *simulation, _ *statement) func() { return sim.checker.checkLiveness }

// jobKinds are the kinds of jobs by their name in a script.
var jobKinds = map[string]string{
	"array":   protocol.KindArray,
	"service": protocol.KindService,
	"gang":    protocol.KindGang,
}

// parseJob reads the description of a job. What controllers are told: class, team,
// priority, kind, tasks, cpus, mem, image, image-gb, types, zone, one-zone=1, spread=1,
// spot=1, dependencies, estimate, checkpoint, save and deadline (in seconds). What really
// happens: run and runs (seconds that tasks take, of all and of the first ones), broken=1
// (it fails everywhere) and repeats (further submissions).
func parseJob(line *statement) *userJob {
	spec := protocol.JobSpec{
		ID:                line.arg(0),
		Class:             line.text("class", "c"),
		Team:              line.text("team", "red"),
		Priority:          line.text("priority", "normal"),
		Tasks:             int(line.number("tasks", 1)),
		CPUs:              line.number("cpus", 1),
		MemoryGB:          line.number("mem", 1),
		Image:             line.text("image", "img"),
		ImageGB:           line.number("image-gb", 1),
		Types:             line.list("types"),
		Zone:              line.text("zone", ""),
		OneZone:           line.flag("one-zone"),
		Spread:            line.flag("spread"),
		Spot:              line.flag("spot"),
		Dependencies:      line.list("dependencies"),
		EstimateSeconds:   line.number("estimate", 10),
		CheckpointSeconds: line.number("checkpoint", 0),
		SaveSeconds:       line.number("save", 0),
		DeadlineSeconds:   line.number("deadline", 0),
	}
	kind, known := jobKinds[line.text("kind", "array")]
	if !known {
		line.fail("kind %s", line.pairs["kind"])
	}
	spec.Kind = kind
	return &userJob{spec: spec, jobBehaviour: jobBehaviour{
		runSeconds:      line.number("run", 10),
		taskRunSeconds:  line.numbers("runs"),
		failsEverywhere: line.flag("broken"),
		resubmissions:   int(line.number("repeats", 0)),
	}}
}
