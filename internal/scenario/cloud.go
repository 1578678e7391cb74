package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// machinePool is a kind of machines that the cloud has a number of.
type machinePool struct {
	machineType string
	zone        string
	spot        bool
}

// fakeCloud is the stand-in for the cloud.
type fakeCloud struct {
	sim      *simulation
	types    []protocol.MachineType
	capacity map[machinePool]int
	machines []*fakeMachine      // all that there ever were, in the order of their creation
	requests map[string][]string // names of the machines that were created, by request

	calls           int
	outage          bool
	lostAnswerShare float64 // of answers that are lost, the request being carried out
	bootFailures    int     // so many of the next machines never boot
}

// fakeMachine is a machine that the cloud created.
type fakeMachine struct {
	protocol.CloudMachine
	pool      machinePool
	createdAt time.Duration
	deleted   bool
	stages    []stageChange
}

// stageChange is the stage of a machine from a time on. Lists show it after a lag.
type stageChange struct {
	since time.Duration
	stage string // stageDeleted or one of protocol's
}

const (
	stageDeleted = ""
	// crashNoticeDelay is how long after a crash of a machine the cloud notices.
	crashNoticeDelay = 30 * time.Second
	// Machines boot within this range of the time that their type states.
	minBootFactor   = 0.6
	bootFactorRange = 0.9
	// Lists are this range of the stated lag old.
	minLagFactor   = 0.5
	lagFactorRange = 1.5
)

func (m *fakeMachine) setStage(now time.Duration, stage string) {
	m.stages = append(m.stages, stageChange{since: now, stage: stage})
}

// stageAt is the stage of a machine at a time, or stageDeleted before its creation.
func (m *fakeMachine) stageAt(when time.Duration) string {
	stage := stageDeleted
	for _, change := range m.stages {
		if change.since <= when {
			stage = change.stage
		}
	}
	return stage
}

// find looks a machine up by its name, or returns nil.
func (c *fakeCloud) find(name string) *fakeMachine {
	i := slices.IndexFunc(c.machines, func(m *fakeMachine) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return c.machines[i]
}

// create creates as many machines as there is capacity for and returns their names; a
// request that was carried out before gets the names that it got then.
func (c *fakeCloud) create(request protocol.CreateMachinesRequest) ([]string, error) {
	if names, ok := c.requests[request.Request]; ok {
		return names, nil
	}
	pool := machinePool{machineType: request.Type, zone: request.Zone, spot: request.Spot}
	count := min(c.free(pool), request.Count)
	if count <= 0 {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range count {
		names = append(names, c.createOne(pool).Name)
	}
	c.requests[request.Request] = names
	return names, nil
}

// free is how many machines of a pool can be created.
func (c *fakeCloud) free(pool machinePool) int {
	free := c.capacity[pool]
	for _, machine := range c.machines {
		if machine.pool == pool && !machine.deleted {
			free--
		}
	}
	return free
}

// createOne creates a machine, which boots unless it is one of those that fail to.
func (c *fakeCloud) createOne(pool machinePool) *fakeMachine {
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

// delete deletes machines; those that are unknown or deleted stay as they are.
func (c *fakeCloud) delete(names []string) {
	for _, name := range names {
		machine := c.find(name)
		if machine == nil || machine.deleted {
			continue
		}
		machine.deleted = true
		machine.setStage(c.sim.now, stageDeleted)
		c.shutDownAgent(name)
	}
}

// crash lets a machine stop by itself; the cloud notices later.
func (c *fakeCloud) crash(name string) {
	machine := c.find(name)
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

// list is the machines as they were a lag ago.
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
