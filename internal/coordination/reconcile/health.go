package reconcile

import "time"

const (
	// quarantinePerError is for how long a machine takes no new tasks after each error in
	// a row, up to maxCountedErrors of them.
	quarantinePerError = 10 * time.Second
	maxCountedErrors   = 6
	// quarantineAfterRefusal is the same after it has refused a start.
	quarantineAfterRefusal = 2 * time.Second
	// faultyErrors is how many errors in a row make a machine faulty.
	faultyErrors = 3
	// maxMachinesBlamed is on how many machines tasks of a job may fail before the fault is
	// taken to be the job's.
	maxMachinesBlamed = 2

	// minReferenceRuns is how many run times of a job others are compared with, and
	// minRunTimeSamples how many comparisons a judgement rests on.
	minReferenceRuns  = 2
	minRunTimeSamples = 4
	// slowRunTime is the relative run time above which a machine is slow.
	slowRunTime = 1.6
	// runTimeWeight is the weight of the newest run time in the average.
	runTimeWeight = 0.3
)

// health is how a machine has done with its tasks.
type health struct {
	consecutiveErrors int           // failed tasks in a row
	relativeRunTime   float64       // run times here by those of the same jobs elsewhere
	runTimeSamples    int           // completed tasks that relativeRunTime rests on
	quarantinedUntil  time.Duration // no new tasks before
}

// noteError takes in that a task has failed, by the machine's fault as far as is known.
func (h *health) noteError(now time.Duration) {
	h.consecutiveErrors++
	h.quarantinedUntil = now + time.Duration(min(h.consecutiveErrors, maxCountedErrors))*quarantinePerError
}

// noteDone takes in that a task is done.
func (h *health) noteDone() { h.consecutiveErrors = 0 }

// noteRefusal takes in that the machine has refused a start.
func (h *health) noteRefusal(now time.Duration) { h.quarantinedUntil = now + quarantineAfterRefusal }

// quarantined reports whether the machine takes no new tasks for now.
func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// noteRunTime compares a completed task's run time with those of its own job: the owners'
// estimates are too often wrong to tell a slow machine by.
func (h *health) noteRunTime(job *runTimes, seconds float64) {
	if job.count >= minReferenceRuns && job.seconds > 0 {
		ratio := seconds / (job.seconds / float64(job.count))
		if h.runTimeSamples == 0 {
			h.relativeRunTime = 1
		}
		h.relativeRunTime += (ratio - h.relativeRunTime) * runTimeWeight
		h.runTimeSamples++
	}
	job.count++
	job.seconds += seconds
}

// slow reports whether the machine has shown to be much slower than others.
func (h *health) slow() bool {
	return h.runTimeSamples >= minRunTimeSamples && h.relativeRunTime > slowRunTime
}

// faulty reports whether the machine had better be replaced.
func (h *health) faulty() bool { return h.consecutiveErrors >= faultyErrors || h.slow() }

// runTimes sums up the run times of a job's completed tasks, as far as they are known.
type runTimes struct {
	count   int
	seconds float64
}

// failureRecord is how tasks of a job have failed since one was last done.
type failureRecord struct {
	count    int
	machines map[string]bool // on which they failed
}

// note takes in a failure and reports whether it may be the machine's fault. A faulty
// machine fails whatever it is given; a faulty job fails wherever it is, and after the
// second machine the fault is taken to be the job's.
func (f *failureRecord) note(machine string) (blamesMachine bool) {
	f.count++
	if f.machines == nil {
		f.machines = map[string]bool{}
	}
	f.machines[machine] = true
	return len(f.machines) <= maxMachinesBlamed
}

const (
	// firstBackoff is the pause after a job's first failure, which doubles with each.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 20 * time.Second
	maxDoublings = 6
)

// backoff is how long the job is not started again.
func (f *failureRecord) backoff() time.Duration {
	return min(time.Duration(1<<min(f.count, maxDoublings))*firstBackoff, maxBackoff)
}
