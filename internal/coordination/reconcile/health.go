package reconcile

import "time"

const (
	// quarantinePerError is how long a machine gets no new tasks for each consecutive
	// error, of which at most maxCountedErrors count.
	quarantinePerError = 10 * time.Second
	maxCountedErrors   = 6
	// quarantineAfterRejectedStart is how long a machine gets no new tasks after its agent
	// rejected a start.
	quarantineAfterRejectedStart = 2 * time.Second
	// faultyErrors is the number of consecutive errors that make a machine faulty.
	faultyErrors = 3
	// maxMachinesAtFault is the number of machines on which tasks of a job may fail before
	// failures are attributed to the job.
	maxMachinesAtFault = 2

	// minReferenceRuns is the number of run times of a job needed before others are compared
	// with their average.
	minReferenceRuns = 2
	// minRunTimeSamples is the number of comparisons needed before a machine can count as
	// slow.
	minRunTimeSamples = 4
	// slowRunTime is the relative run time above which a machine counts as slow.
	slowRunTime = 1.6
	// runTimeWeight is the weight of the newest sample in the moving average of relative run
	// times.
	runTimeWeight = 0.3
)

// health tracks the failures and run times of a machine's tasks.
type health struct {
	consecutiveErrors int           // failed tasks since the last successful one
	relativeRunTime   float64       // moving average of run times here, relative to those of the same jobs
	runTimeSamples    int           // run times in relativeRunTime
	quarantinedUntil  time.Duration // no new tasks before this time
}

// recordError records a failed task that may be the machine's fault, and quarantines the
// machine.
func (h *health) recordError(now time.Duration) {
	h.consecutiveErrors++
	h.quarantinedUntil = now + time.Duration(min(h.consecutiveErrors, maxCountedErrors))*quarantinePerError
}

// recordSuccess records a completed task, which resets the count of consecutive errors.
func (h *health) recordSuccess() { h.consecutiveErrors = 0 }

// recordRejectedStart quarantines the machine after its agent rejected a start.
func (h *health) recordRejectedStart(now time.Duration) {
	h.quarantinedUntil = now + quarantineAfterRejectedStart
}

// quarantined reports whether the machine gets no new tasks at present.
func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// recordRunTime compares a completed task's run time with the average of its job. Users'
// estimates are wrong too often to detect slow machines with.
func (h *health) recordRunTime(job *runTimes, seconds float64) {
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

// slow reports whether the machine has proved much slower than others.
func (h *health) slow() bool {
	return h.runTimeSamples >= minRunTimeSamples && h.relativeRunTime > slowRunTime
}

// faulty reports whether the machine should be replaced.
func (h *health) faulty() bool { return h.consecutiveErrors >= faultyErrors || h.slow() }

// runTimes sums the known run times of a job's completed tasks.
type runTimes struct {
	count   int
	seconds float64
}

// failureRecord tracks the failures of a job's tasks since one last completed.
type failureRecord struct {
	count    int
	machines map[string]bool // machines on which tasks failed
}

// add records a failure and reports whether it may be the machine's fault. A faulty machine
// fails tasks of any job, a faulty job fails on any machine. Once a job has failed on more
// than maxMachinesAtFault machines, its failures are attributed to the job.
func (f *failureRecord) add(machine string) (machineAtFault bool) {
	f.count++
	if f.machines == nil {
		f.machines = map[string]bool{}
	}
	f.machines[machine] = true
	return len(f.machines) <= maxMachinesAtFault
}

const (
	// baseBackoff is doubled with each failure of a job, including the first, at most
	// maxDoublings times and up to maxBackoff.
	baseBackoff  = 250 * time.Millisecond
	maxBackoff   = 20 * time.Second
	maxDoublings = 6
)

// backoff is how long tasks of the job are not started after the last failure.
func (f *failureRecord) backoff() time.Duration {
	return min(time.Duration(1<<min(f.count, maxDoublings))*baseBackoff, maxBackoff)
}
