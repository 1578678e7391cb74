package reconcile

import (
	"time"

	"rockrun/internal/storage"
)

// agent is the shard holder's state for one machine and the agent on it.
type agent struct {
	machine          *storage.Machine
	address          string // from the record or, until the record has it, from a heartbeat
	shard            int
	fence            fence
	contact          contact
	reachability     reachability
	health           health
	load             load
	commands         commandChannel
	attempts         map[storage.TaskRef]*attempt
	unexpected       unexpectedTasks
	imageRequestedAt map[int]time.Duration // by image: when an attempt that uses it was last added
	needsAttention   bool                  // commands may have to be sent
	// detachment is set while the records place the machine in another shard, or in none,
	// and attempts on it are not confirmed terminated.
	detachment detachment
	removal
}

// removal is the state of a machine that is about to be terminated or is draining.
type removal struct {
	terminationAt        time.Duration // when the cloud terminates the machine; 0: not announced
	intentPagesCheckedAt time.Duration // when a draining machine's name was last searched for in the intent pages
}

func newAgent(machine *storage.Machine, granted uint64, now time.Duration) *agent {
	return &agent{
		machine:          machine,
		address:          machine.Address,
		shard:            machine.Shard,
		fence:            newFence(granted),
		contact:          contact{epoch: 1, heldSince: now, lastHeartbeatAt: now, lastAnsweredAt: now},
		attempts:         map[storage.TaskRef]*attempt{},
		imageRequestedAt: map[int]time.Duration{},
	}
}

// hasImage reports whether the machine has fetched a job's image or is fetching it.
func (a *agent) hasImage(job *storage.Job) bool {
	_, requested := a.imageRequestedAt[job.ImageIndex]
	return requested
}

// draining reports whether the machine is being emptied.
func (a *agent) draining() bool { return a.machine.Phase == storage.PhaseDraining }

// hasPendingChanges reports whether any attempt on the machine is planned or being stopped.
func (a *agent) hasPendingChanges() bool {
	for _, attempt := range a.attempts {
		if attempt.live() && (attempt.stop.requested || attempt.state == attemptPlanned) {
			return true
		}
	}
	return false
}

// hasDueStops reports whether any stop must be sent or repeated now.
func (a *agent) hasDueStops(now time.Duration) bool {
	for _, attempt := range a.attempts {
		if attempt.stopDue(now) {
			return true
		}
	}
	return false
}

// hasUnsentCommands reports whether any attempt with a durable intent has a start that was
// never sent, a stop must be sent or repeated, or a fencing token must be announced.
func (a *agent) hasUnsentCommands(now time.Duration) bool {
	if a.fence.awaitsReport() && !a.fence.announced {
		return true
	}
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

// needsResolution reports whether the machine has unexpected live tasks, an attempt being
// stopped that the agent has not reported yet and that is not confirmed terminated, or starts that
// the agent may still execute and must not.
func (a *agent) needsResolution() bool {
	// Ended unexpected tasks can wait: the next heartbeat answer or start reaps them.
	if a.unexpected.anyLive() || a.fence.awaitsReport() {
		return true
	}
	for _, attempt := range a.attempts {
		if attempt.live() && attempt.stop.requested && attempt.state == attemptPlanned {
			return true
		}
	}
	return false
}

// load is the resources that the live attempts on a machine use.
type load struct {
	cpus        float64
	gpus        float64
	memoryGB    float64
	serviceCPUs float64 // CPUs used by service replicas
}

// add adds the resources of a number of tasks of a job; a negative number subtracts them.
func (l *load) add(job *storage.Job, tasks float64) {
	l.cpus += tasks * job.CPUs
	l.gpus += tasks * job.GPUs
	l.memoryGB += tasks * job.MemoryGB
	if job.IsService() {
		l.serviceCPUs += tasks * job.CPUs
	}
}
