package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
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
	terminationAt  time.Duration         // when the cloud takes the machine; 0: not announced
	needsAttention bool                  // there may be commands to send
	namesCheckedAt time.Duration         // when pages that name it were last looked for
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

// contact is when and how an agent was last heard and answered.
type contact struct {
	epoch            uint64
	sequence         uint64        // of the last heartbeat; 0: none yet
	heldSince        time.Duration // when the machine was taken up
	firstHeartbeatAt time.Duration // first under this grant
	lastHeartbeatAt  time.Duration
	lastAnsweredAt   time.Duration // last time a heartbeat was answered, which renews the lease
}

// observe takes in a heartbeat that is news.
func (c *contact) observe(r *protocol.AgentHeartbeat, now time.Duration) {
	c.epoch, c.sequence, c.lastHeartbeatAt = r.Epoch, r.Sequence, now
}

// silentSince is since when the agent has not both been heard and answered.
func (c *contact) silentSince() time.Duration { return min(c.lastHeartbeatAt, c.lastAnsweredAt) }

// lastRenewedAt is when the agent's lease may last have been renewed: by this holder or,
// until its knowledge ran out, by a former one.
func (c *contact) lastRenewedAt(maxStaleness time.Duration) time.Duration {
	return max(c.lastAnsweredAt, c.heldSince+maxStaleness)
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

// commandChannel is the sending of commands to an agent: one request at a time.
type commandChannel struct {
	loop.Call
	sendAgain bool // another request is wanted after the one in flight
	sentAt    time.Duration
}

// begin takes up a request.
func (c *commandChannel) begin(now time.Duration) {
	c.Begin()
	c.sendAgain, c.sentAt = false, now
}

// Completed tasks stay on their machine's list until they are reaped. Each reap is a change
// that the agent reports at once, so they wait for a command that goes there anyway, for
// company, or for so long.
const (
	reapAfter = 10 * time.Second
	reapBatch = 8
)

// unexpectedTasks are the tasks of an agent's last heartbeat that nobody asks for any more.
type unexpectedTasks struct {
	list  []protocol.TaskStatus
	since time.Duration // since when there have been any; 0: there are none
}

// reset forgets the tasks of the heartbeat before.
func (u *unexpectedTasks) reset() { u.list = u.list[:0] }

// add takes in a task of the heartbeat.
func (u *unexpectedTasks) add(task *protocol.TaskStatus) { u.list = append(u.list, *task) }

// observe keeps since when there have been any.
func (u *unexpectedTasks) observe(now time.Duration) {
	if len(u.list) == 0 {
		u.since = 0
	} else if u.since == 0 {
		u.since = now
	}
}

// reapDue reports whether they must go now: anything but a few tasks that completed a
// moment ago.
func (u *unexpectedTasks) reapDue(now time.Duration) bool {
	if len(u.list) == 0 {
		return false
	}
	return len(u.list) >= reapBatch || now-u.since >= reapAfter ||
		slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool {
			return t.State != protocol.TaskEnded || t.Cause != protocol.CauseDone
		})
}

// anyLive reports whether any has not ended.
func (u *unexpectedTasks) anyLive() bool {
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded })
}

// lists reports whether an attempt at a task of a job is among them.
func (u *unexpectedTasks) lists(job *storage.Job, task int) bool {
	if len(u.list) == 0 {
		return false
	}
	name := protocol.TaskName(job.ID, task)
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.Task == name })
}

// agentTable is the agents of the machines held.
type agentTable struct {
	byName map[string]*agent
	sorted []*agent // the same, by machine name
}

// find returns the agent of a machine, or nil.
func (t *agentTable) find(machine string) *agent { return t.byName[machine] }

// contains reports whether an agent is still held, and not another in its stead.
func (t *agentTable) contains(a *agent) bool { return t.byName[a.machine.Name] == a }

func (t *agentTable) insert(a *agent) {
	name := a.machine.Name
	t.byName[name] = a
	i, _ := slices.BinarySearchFunc(t.sorted, name, func(other *agent, name string) int { return cmp.Compare(other.machine.Name, name) })
	t.sorted = slices.Insert(t.sorted, i, a)
}

func (t *agentTable) remove(a *agent) {
	delete(t.byName, a.machine.Name)
	t.sorted = slices.DeleteFunc(t.sorted, func(other *agent) bool { return other == a })
}
