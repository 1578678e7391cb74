package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// fakeAgent is the stand-in for a machine's agent.
type fakeAgent struct {
	sim         *simulation
	machine     *fakeMachine
	machineType *protocol.MachineType
	dead        bool
	tasks       []*agentTask
	images      map[string]bool // that are cached here

	agentSession
	agentFaults
}

// agentSession is what an agent knows of its controllers, and of its heartbeats to them.
type agentSession struct {
	epoch        uint64
	sequence     uint64
	fencingToken uint64
	leaseFrom    time.Duration // when the last answered heartbeat was sent

	controller      int // the host that it sends to
	inFlight        bool
	lastHeartbeat   time.Duration
	heartbeatWanted bool // soon, as something has changed
}

// agentFaults are the faults of a machine.
type agentFaults struct {
	partitioned       bool     // no message gets through
	heldBack          []func() // commands and heartbeats that arrive once that ends
	inboundPartition  bool     // its heartbeats arrive, but neither answers nor commands reach it
	outboundPartition bool     // it reaches no controller; commands reach it
	faulty            bool     // whatever runs here fails
	slowdown          float64  // how many times longer tasks take
	terminatedAt      time.Duration
	pausedUntil       time.Duration
}

// newAgent starts the agent on a machine that has booted.
func newAgent(sim *simulation, machine *fakeMachine, machineType *protocol.MachineType) {
	a := &fakeAgent{sim: sim, machine: machine, machineType: machineType, images: map[string]bool{}}
	a.slowdown = 1
	a.epoch, a.leaseFrom, a.controller = 1, sim.now, sim.rand.IntN(len(sim.hosts))
	sim.agents[machine.Name] = a
	a.sendHeartbeat()
	a.watchLease()
}

// isPaused reports whether the machine stands still now.
func (a *fakeAgent) isPaused() bool { return a.sim.now < a.pausedUntil }

// pause lets the machine stand still for a while: its tasks don't go on, it sends
// nothing, and what is sent to it is read afterwards. Its lease runs on.
func (a *fakeAgent) pause(lasting time.Duration) {
	a.pausedUntil = a.sim.now + lasting
	a.sim.after(lasting, func() {
		if a.dead || a.isPaused() {
			return
		}
		a.inFlight = false
		a.heal()
		a.sendHeartbeat()
	})
}

// heal ends a partition and delivers what was held back.
func (a *fakeAgent) heal() {
	a.partitioned = false
	for _, deliver := range a.heldBack {
		deliver()
	}
	a.heldBack = nil
}

// shutDown ends the machine with all that runs on it.
func (a *fakeAgent) shutDown() {
	a.dead = true
	a.dropTasks()
	delete(a.sim.agents, a.machine.Name)
}

// restart ends everything on the machine; its agent is back at once.
func (a *fakeAgent) restart() {
	a.dropTasks()
	a.epoch++
	a.leaseFrom = a.sim.now
	a.wantHeartbeat()
}

func (a *fakeAgent) dropTasks() {
	for _, task := range a.tasks {
		a.sim.checker.taskLeft(a, task)
	}
	a.tasks = nil
}

// watchLease restarts the agent whenever its lease has expired.
func (a *fakeAgent) watchLease() {
	lease := a.sim.cluster.Agents.Lease()
	a.sim.after(max(a.leaseFrom+lease-a.sim.now, time.Millisecond), func() {
		if a.dead {
			return
		}
		if a.sim.now >= a.leaseFrom+lease {
			a.restart()
		}
		a.watchLease()
	})
}

// execute carries out commands that a controller sends, unless they come with a lower
// token or for another epoch.
func (a *fakeAgent) execute(request protocol.CommandRequest) (heartbeat *protocol.AgentHeartbeat, executed bool) {
	if request.FencingToken < a.fencingToken || request.Epoch != a.epoch {
		return a.heartbeat(), false
	}
	a.raiseToken(request.FencingToken)
	a.apply(request.Commands)
	return a.heartbeat(), true
}

// raiseToken takes a higher token over and shows it soon.
func (a *fakeAgent) raiseToken(token uint64) {
	if token > a.fencingToken {
		a.fencingToken = token
		a.wantHeartbeat()
	}
}

// find looks up an attempt on the machine; without one it returns -1 and nil.
func (a *fakeAgent) find(name string, attempt uint64) (int, *agentTask) {
	i := slices.IndexFunc(a.tasks, func(t *agentTask) bool { return t.Task == name && t.Attempt == attempt })
	if i < 0 {
		return -1, nil
	}
	return i, a.tasks[i]
}

// mayRun reports whether the machine has an attempt at a task that has not ended.
func (a *fakeAgent) mayRun(name string) bool {
	return slices.ContainsFunc(a.tasks, func(t *agentTask) bool { return t.Task == name && t.State != protocol.TaskEnded })
}
