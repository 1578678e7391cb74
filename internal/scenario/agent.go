package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// fakeAgent simulates the agent on a machine.
type fakeAgent struct {
	sim         *simulation
	machine     *fakeMachine
	machineType *protocol.MachineType
	dead        bool
	tasks       []*agentTask
	images      map[string]bool // cached on the machine

	agentSession
	agentFaults
}

// agentSession is the state of an agent's session with its controllers.
type agentSession struct {
	epoch        uint64
	sequence     uint64
	fencingToken uint64
	leaseStart   time.Duration // send time of the last accepted heartbeat, or start of the agent

	controller         int  // index of the host that receives the heartbeats
	inFlight           bool // a heartbeat is unanswered
	restarts           int  // restarts within an epoch
	lastHeartbeat      time.Duration
	heartbeatRequested bool // an early heartbeat is scheduled because the state changed
}

// agentFaults are the faults injected into a machine.
type agentFaults struct {
	partitioned       bool          // heartbeats and commands are queued, answers are lost
	queuedMessages    []func()      // delivered when the partition or pause ends
	inboundPartition  bool          // heartbeats arrive, but answers and commands are lost
	outboundPartition bool          // heartbeats are lost; commands arrive
	faulty            bool          // every task fails
	slowdown          float64       // factor on the run time of tasks
	terminatedAt      time.Duration // announced termination of the machine; 0: none
	pausedUntil       time.Duration
}

// newAgent starts the agent of a booted machine.
func newAgent(sim *simulation, machine *fakeMachine, machineType *protocol.MachineType) {
	a := &fakeAgent{sim: sim, machine: machine, machineType: machineType, images: map[string]bool{}}
	a.slowdown = 1
	a.epoch, a.leaseStart, a.controller = 1, sim.now, sim.rand.IntN(len(sim.hosts))
	sim.agents[machine.Name] = a
	a.sendHeartbeat()
	a.watchLease()
}

// isPaused reports whether the machine is paused now.
func (a *fakeAgent) isPaused() bool { return a.sim.now < a.pausedUntil }

// pause suspends the machine: tasks do not progress, no heartbeat is sent, and incoming
// commands are delivered when the pause ends. The lease of the agent continues to run out.
func (a *fakeAgent) pause(duration time.Duration) {
	a.pausedUntil = a.sim.now + duration
	a.sim.after(duration, func() {
		if a.dead || a.isPaused() {
			return
		}
		a.inFlight = false
		a.heal()
		a.sendHeartbeat()
	})
}

// heal ends a partition and delivers the queued messages.
func (a *fakeAgent) heal() {
	a.partitioned = false
	for _, deliver := range a.queuedMessages {
		deliver()
	}
	a.queuedMessages = nil
}

// shutDown removes the machine and its tasks from the simulation.
func (a *fakeAgent) shutDown() {
	a.dead = true
	a.removeAllTasks()
	delete(a.sim.agents, a.machine.Name)
}

// restart terminates all tasks and immediately starts a new agent epoch.
func (a *fakeAgent) restart() {
	a.removeAllTasks()
	a.epoch++
	a.leaseStart = a.sim.now
	a.requestHeartbeat()
}

// restartInEpoch terminates all tasks and goes on in the same epoch. Answers to heartbeats sent
// before do not arrive.
func (a *fakeAgent) restartInEpoch() {
	a.removeAllTasks()
	a.restarts++
	a.inFlight = false
	a.requestHeartbeat()
}

func (a *fakeAgent) removeAllTasks() {
	for _, task := range a.tasks {
		task.timerGeneration++
		a.sim.checker.taskRemoved(a, task)
	}
	a.tasks = nil
}

// watchLease restarts the agent whenever its lease has expired.
func (a *fakeAgent) watchLease() {
	lease := a.sim.cluster.Agents.Lease()
	a.sim.after(max(a.leaseStart+lease-a.sim.now, time.Millisecond), func() {
		if a.dead {
			return
		}
		if a.sim.now >= a.leaseStart+lease {
			a.restart()
		}
		a.watchLease()
	})
}

// execute applies a controller's commands and returns the agent's next heartbeat. Commands
// with a lower fencing token or for another epoch are rejected.
func (a *fakeAgent) execute(request protocol.CommandRequest) (heartbeat *protocol.AgentHeartbeat, executed bool) {
	if request.FencingToken < a.fencingToken || request.Epoch != a.epoch {
		return a.heartbeat(), false
	}
	a.raiseToken(request.FencingToken)
	a.apply(request.Commands)
	return a.heartbeat(), true
}

// raiseToken adopts a higher fencing token and requests a heartbeat that reports it.
func (a *fakeAgent) raiseToken(token uint64) {
	if token > a.fencingToken {
		a.fencingToken = token
		a.requestHeartbeat()
	}
}

// findAttempt returns the index and the state of an attempt, or -1 and nil if the machine
// does not have it.
func (a *fakeAgent) findAttempt(name string, attempt uint64) (int, *agentTask) {
	i := slices.IndexFunc(a.tasks, func(t *agentTask) bool { return t.Task == name && t.Attempt == attempt })
	if i < 0 {
		return -1, nil
	}
	return i, a.tasks[i]
}

// hasUnfinishedAttempt reports whether an attempt of a task on the machine has not ended.
func (a *fakeAgent) hasUnfinishedAttempt(name string) bool {
	return slices.ContainsFunc(a.tasks, func(t *agentTask) bool { return t.Task == name && t.State != protocol.TaskEnded })
}
