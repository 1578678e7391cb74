package reconcile

import (
	"time"

	"rockrun/internal/storage"
)

// agent is what the holder of a shard knows of one machine and its agent.
type agent struct {
	machine        *storage.Machine
	address        string // from the record or, earlier, from the agent itself
	shard          int
	fence          fence
	contact        contact
	reachability   reachability
	health         health
	load           load
	commands       commandChannel
	attempts       map[storage.TaskRef]*attempt
	unexpected     unexpectedTasks
	imageWantedAt  map[int]time.Duration // by image: when it was last wanted here
	needsAttention bool                  // there may be commands to send
	// displaced: the records have the machine elsewhere, and it was not let go.
	displaced displacement
	departure
}

// departure is what is known of a machine that is about to go.
type departure struct {
	terminationAt  time.Duration // when the cloud takes it; 0: not announced
	namesCheckedAt time.Duration // when pages that name it were last looked for, since it drains
}

func newAgent(machine *storage.Machine, granted uint64, now time.Duration) *agent {
	return &agent{
		machine:       machine,
		address:       machine.Address,
		shard:         machine.Shard,
		fence:         newFence(granted),
		contact:       contact{epoch: 1, heldSince: now, lastHeartbeatAt: now, lastAnsweredAt: now},
		attempts:      map[storage.TaskRef]*attempt{},
		imageWantedAt: map[int]time.Duration{},
	}
}

// hasImage reports whether a job's image was fetched here, or is being.
func (a *agent) hasImage(job *storage.Job) bool {
	_, wanted := a.imageWantedAt[job.ImageIndex]
	return wanted
}

// draining reports whether the machine is to become empty.
func (a *agent) draining() bool { return a.machine.Phase == storage.PhaseDraining }

// hasPendingChanges reports whether an attempt is to begin or to end on the machine.
func (a *agent) hasPendingChanges() bool {
	for _, attempt := range a.attempts {
		if attempt.live() && (attempt.stop.requested || attempt.state == attemptPlanned) {
			return true
		}
	}
	return false
}

// hasDueStops reports whether a stop is to be sent, or to be repeated.
func (a *agent) hasDueStops(now time.Duration) bool {
	for _, attempt := range a.attempts {
		if attempt.stopDue(now) {
			return true
		}
	}
	return false
}

// hasUnsentCommands reports whether a start waits to be sent that was not sent yet, or a
// stop that has gone unheeded.
func (a *agent) hasUnsentCommands(now time.Duration) bool {
	for _, attempt := range a.attempts {
		if !attempt.live() {
			continue
		}
		if attempt.state == attemptPlanned && !attempt.stop.requested && !attempt.start.sent() && attempt.durable() {
			return true
		}
		if attempt.stopDue(now) {
			return true
		}
	}
	return false
}

// needsResolution reports whether the machine has tasks that nobody asked for, or a stop
// that still needs its proof.
func (a *agent) needsResolution() bool {
	// Ended ones are reaped with the next answer or start; that is soon enough.
	if a.unexpected.anyLive() {
		return true
	}
	for _, attempt := range a.attempts {
		if attempt.live() && attempt.stop.requested && attempt.state == attemptPlanned {
			return true
		}
	}
	return false
}

// load is what the live attempts on a machine take.
type load struct {
	cpus        float64
	gpus        float64
	memoryGB    float64
	serviceCPUs float64 // CPUs of those that are replicas
}

// add adds what a number of tasks of a job take; a negative number takes it off.
func (l *load) add(job *storage.Job, tasks float64) {
	l.cpus += tasks * job.CPUs
	l.gpus += tasks * job.GPUs
	l.memoryGB += tasks * job.MemoryGB
	if job.IsService() {
		l.serviceCPUs += tasks * job.CPUs
	}
}
