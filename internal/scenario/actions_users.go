package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
)

// Actions of the users: submit, cancel and query jobs.

// Values of when=, the condition for the submission of a job.
const (
	whenNow      = "now"
	whenAccepted = "accepted" // once its dependencies are accepted
	whenEnded    = "over"     // once the outcomes of its dependencies are known
)

// actSubmit: "submit run-1 when=accepted" submits a job. The other arguments are those of
// parseJob.
func actSubmit(sim *simulation, line *statement) func() {
	job := parseJob(line)
	switch when := line.text("when", whenNow); when {
	case whenAccepted, whenEnded:
		return func() { sim.users.submitWhenReady(job, when == whenEnded) }
	case whenNow:
	default:
		line.fail("submit: unknown when=%s (allowed: %s, %s, %s)", when, whenNow, whenAccepted, whenEnded)
	}
	return func() { sim.users.submitNew(job) }
}

// actStream: "stream run-100 every=1s count=10 cancelled=0.2 after=5s behind=200" submits
// identical jobs at an interval, with consecutive IDs. A share of the jobs is cancelled
// within the after= time. With behind=200, the first job depends on run-200, the second on
// run-201, and so on.
func actStream(sim *simulation, line *statement) func() {
	every := line.duration(line.text("every", "1s"))
	cancelled, cancelWithin := line.number("cancelled", 0), line.duration(line.text("after", "5s"))
	jobs := parseStream(line)
	return func() {
		for i, job := range jobs {
			sim.after(time.Duration(i)*every, func() {
				sim.users.submitNew(job)
				if sim.rand.Float64() < cancelled {
					sim.after(sim.randomBelow(cancelWithin), func() { sim.users.cancel(job) })
				}
			})
		}
	}
}

// parseStream parses the description of a stream of jobs.
func parseStream(line *statement) (jobs []*userJob) {
	prefix, number, _ := strings.Cut(line.arg(0), "-")
	first, err := strconv.Atoi(number)
	if err != nil {
		line.fail("stream: job ID %q is not of the form run-100: %v", line.arg(0), err)
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

// actCancel: "cancel run-1" cancels a job if it has been submitted.
func actCancel(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() {
		if job := sim.users.jobs[id]; job != nil {
			sim.users.cancel(job)
		}
	}
}

// actCancelRunning: "cancel-running count=10 pause=20s" cancels running arrays and pauses
// some of their machines.
func actCancelRunning(sim *simulation, line *statement) func() {
	count, pause := int(line.number("count", 10)), line.duration(line.text("pause", "0s"))
	return func() { sim.users.cancelRunning(count, pause) }
}

// actCancelOnCompletion: "cancel-on-completion share=0.5" cancels a share of the jobs at the
// moment when their last task completes; share=0 disables the fault.
func actCancelOnCompletion(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.users.cancelOnCompletionShare = share }
}

// actHealthyControllersOnly: "healthy-controllers-only on" makes users send requests only to
// controllers that the store serves; off makes them use every controller again.
func actHealthyControllersOnly(sim *simulation, line *statement) func() {
	on := line.arg(0) == "on"
	return func() { sim.users.healthyControllersOnly = on }
}

// actReadYourWrites: "read-your-writes 60s cancelled=0.1" makes users query every controller
// right after each acceptance, outcome or cancellation, and cancel a share of the jobs as
// soon as they are accepted.
func actReadYourWrites(sim *simulation, line *statement) func() {
	duration := line.duration(line.arg(0))
	cancelled := line.number("cancelled", 0)
	return func() {
		sim.faults.record("read-your-writes", duration)
		sim.users.probeUntil, sim.users.cancelOnAcceptShare = sim.now+duration, cancelled
	}
}

// actInvalidRequests: "invalid-requests 60s" makes users send invalid requests.
func actInvalidRequests(sim *simulation, line *statement) func() {
	duration := line.duration(line.arg(0))
	return func() {
		sim.faults.record("invalid-requests", duration)
		sim.users.sendInvalidRequests(sim.now + duration)
	}
}

// actCheckLiveness: "check-liveness" starts the liveness checks. All faults must have ended.
func actCheckLiveness(sim *simulation, _ *statement) func() { return sim.checker.checkLiveness }

// jobKinds maps the kinds of jobs in a script to their wire values.
var jobKinds = map[string]string{
	"array":   protocol.KindArray,
	"service": protocol.KindService,
	"gang":    protocol.KindGang,
}

// parseJob parses the description of a job. The submission contains class, team, priority,
// kind, tasks, cpus, mem, image, image-gb, types, zone, one-zone=1, spread=1, spot=1,
// dependencies, and estimate, checkpoint, save and deadline in seconds. The actual behaviour
// is set by run (run time of a task in seconds), runs (run times of the first tasks),
// broken=1 (the tasks fail on every machine) and repeats (number of resubmissions).
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
		line.fail("%s: unknown kind=%s (allowed: %s)", line.verb, line.pairs["kind"], strings.Join(slices.Sorted(maps.Keys(jobKinds)), ", "))
	}
	spec.Kind = kind
	return &userJob{spec: spec, jobBehaviour: jobBehaviour{
		runSeconds:      line.number("run", 10),
		taskRunSeconds:  line.numbers("runs"),
		failsEverywhere: line.flag("broken"),
		resubmissions:   int(line.number("repeats", 0)),
	}}
}
