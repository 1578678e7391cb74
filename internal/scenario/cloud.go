package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// machinePool is a machine type, zone and market with limited capacity.
type machinePool struct {
	machineType string
	zone        string
	spot        bool // false: on-demand
}

// fakeCloud simulates the cloud provider.
type fakeCloud struct {
	sim      *simulation
	types    []protocol.MachineType
	capacity map[machinePool]int
	machines []*fakeMachine      // including deleted machines, in order of creation
	requests map[string][]string // names of created machines by request ID

	calls           int
	outage          bool
	lostAnswerShare float64 // of answers that are lost although the request was executed
	bootFailures    int     // number of further machines that never boot
}

// fakeMachine is a machine that the cloud created.
type fakeMachine struct {
	protocol.CloudMachine
	pool      machinePool
	createdAt time.Duration
	deleted   bool
	stages    []stageChange
}

// stageChange is the start of a machine's stage. Lists show the stage after a lag.
type stageChange struct {
	since time.Duration
	stage string // stageDeleted or a machine stage of package protocol
}

const (
	stageDeleted = ""
	// crashNoticeDelay is the time from a machine crash until the cloud reports the machine
	// as failed.
	crashNoticeDelay = 30 * time.Second
	// The boot time of a machine is the nominal boot time of its type, scaled by a random
	// factor of minBootFactor to minBootFactor+bootFactorRange.
	minBootFactor   = 0.6
	bootFactorRange = 0.9
	// The age of a machine list is the configured lag, scaled by a random factor of
	// minLagFactor to minLagFactor+lagFactorRange.
	minLagFactor   = 0.5
	lagFactorRange = 1.5
)

func (m *fakeMachine) setStage(now time.Duration, stage string) {
	m.stages = append(m.stages, stageChange{since: now, stage: stage})
}

// stageAt returns the stage of a machine at a time, stageDeleted before its creation.
func (m *fakeMachine) stageAt(when time.Duration) string {
	stage := stageDeleted
	for _, change := range m.stages {
		if change.since <= when {
			stage = change.stage
		}
	}
	return stage
}

// findMachine returns the machine with a name, or nil if there is none.
func (c *fakeCloud) findMachine(name string) *fakeMachine {
	i := slices.IndexFunc(c.machines, func(m *fakeMachine) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return c.machines[i]
}

// create creates machines up to the capacity of their pool and returns their names. Create
// requests are idempotent: a repeated request returns the names of the first execution.
func (c *fakeCloud) create(request protocol.CreateMachinesRequest) ([]string, error) {
	if names, ok := c.requests[request.Request]; ok {
		return names, nil
	}
	pool := machinePool{machineType: request.Type, zone: request.Zone, spot: request.Spot}
	count := min(c.freeCapacity(pool), request.Count)
	if count <= 0 {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range count {
		names = append(names, c.createMachine(pool).Name)
	}
	c.requests[request.Request] = names
	return names, nil
}

// freeCapacity returns how many more machines of a pool can be created.
func (c *fakeCloud) freeCapacity(pool machinePool) int {
	free := c.capacity[pool]
	for _, machine := range c.machines {
		if machine.pool == pool && !machine.deleted {
			free--
		}
	}
	return free
}

// createMachine creates a machine. While bootFailures is positive, the machine never boots and
// bootFailures is decremented.
func (c *fakeCloud) createMachine(pool machinePool) *fakeMachine {
	number := len(c.machines)
	machine := &fakeMachine{pool: pool, createdAt: c.sim.now}
	machine.CloudMachine = protocol.CloudMachine{
		Name:    fmt.Sprintf("m-%06d", number),
		Address: fmt.Sprintf("w:%d", number),
		Type:    pool.machineType,
		Zone:    pool.zone,
		Spot:    pool.spot,
	}
	c.machines = append(c.machines, machine)
	machine.setStage(c.sim.now, protocol.MachineBooting)
	if c.bootFailures > 0 {
		c.bootFailures--
		return machine
	}
	c.boot(machine)
	return machine
}

func (c *fakeCloud) boot(machine *fakeMachine) {
	i := slices.IndexFunc(c.types, func(t protocol.MachineType) bool { return t.Name == machine.Type })
	machineType := &c.types[i]
	seconds := machineType.BootSeconds * (minBootFactor + bootFactorRange*c.sim.rand.Float64())
	c.sim.after(time.Duration(seconds*float64(time.Second)), func() {
		if !machine.deleted {
			machine.setStage(c.sim.now, protocol.MachineRunning)
			newAgent(c.sim, machine, machineType)
		}
	})
}

// delete deletes machines. Unknown and already deleted machines are ignored.
func (c *fakeCloud) delete(names []string) {
	for _, name := range names {
		machine := c.findMachine(name)
		if machine == nil || machine.deleted {
			continue
		}
		machine.deleted = true
		machine.setStage(c.sim.now, stageDeleted)
		c.shutDownAgent(name)
	}
}

// crash stops a machine. The cloud reports the failure after crashNoticeDelay.
func (c *fakeCloud) crash(name string) {
	machine := c.findMachine(name)
	if machine == nil || machine.deleted {
		return
	}
	c.shutDownAgent(name)
	c.sim.after(crashNoticeDelay, func() {
		if !machine.deleted {
			machine.setStage(c.sim.now, protocol.MachineFailed)
		}
	})
}

func (c *fakeCloud) shutDownAgent(machine string) {
	if agent := c.sim.agents[machine]; agent != nil {
		agent.shutDown()
	}
}

// list returns the machines as of a random time in the past, see minLagFactor.
func (c *fakeCloud) list() []protocol.CloudMachine {
	lagSeconds := c.sim.cluster.Cloud.ListLagSeconds * (minLagFactor + lagFactorRange*c.sim.rand.Float64())
	asOf := c.sim.now - time.Duration(lagSeconds*float64(time.Second))
	var listed []protocol.CloudMachine
	for _, machine := range c.machines {
		stage := machine.stageAt(asOf)
		if stage == stageDeleted {
			continue
		}
		entry := machine.CloudMachine
		entry.Stage, entry.AgeSeconds = stage, (asOf - machine.createdAt).Seconds()
		listed = append(listed, entry)
	}
	return listed
}
