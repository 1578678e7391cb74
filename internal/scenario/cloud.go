package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

type machinePool struct {
	machineType, zone string
	spot      bool
}

// cloud is the stand-in for the cloud.
type fakeCloud struct {
	sim        *simulation
	types    []protocol.MachineType
	capacity map[machinePool]int
	machines   []*fakeMachine
	nextNumber     int
	requests     map[string][]string
	outage   bool
	calls    int
	lostAnswerShare     float64 // share of answers that are lost, the request being carried out
	bootFailures   int     // so many of the next machines never come up
}

type fakeMachine struct {
	protocol.CloudMachine
	machinePool
	createdAt      time.Duration
	deleted    bool
	stages []stageChange
}

// seen is how a machine stood from a time on; lists are as old as the lag.
type stageChange struct {
	at    time.Duration
	stage string // "" once it is gone
}

func (c *fakeCloud) find(name string) *fakeMachine {
	for _, r := range c.machines {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (r *fakeMachine) setStage(now time.Duration, stage string) {
	r.stages = append(r.stages, stageChange{now, stage})
}

func (c *fakeCloud) create(request protocol.CreateMachinesRequest) ([]string, error) {
	if names, ok := c.requests[request.Request]; ok {
		return names, nil
	}
	pool := machinePool{request.Type, request.Zone, request.Spot}
	free := c.capacity[pool]
	for _, r := range c.machines {
		if r.machinePool == pool && !r.deleted {
			free--
		}
	}
	n := min(free, request.Count)
	if n <= 0 {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range n {
		machine := &fakeMachine{machinePool: pool, createdAt: c.sim.now}
		machine.CloudMachine = protocol.CloudMachine{Name: fmt.Sprintf("m-%06d", c.nextNumber), Address: fmt.Sprintf("w:%d", c.nextNumber), Type: request.Type, Zone: request.Zone, Spot: request.Spot}
		c.nextNumber++
		c.machines = append(c.machines, machine)
		machine.setStage(c.sim.now, protocol.MachineBooting)
		names = append(names, machine.Name)
		if c.bootFailures > 0 {
			c.bootFailures--
			continue
		}
		i := slices.IndexFunc(c.types, func(t protocol.MachineType) bool { return t.Name == request.Type })
		boot := time.Duration(c.types[i].BootSeconds * (0.6 + 0.9*c.sim.rand.Float64()) * float64(time.Second))
		c.sim.after(boot, func() {
			if !machine.deleted {
				machine.setStage(c.sim.now, protocol.MachineRunning)
				newAgent(c.sim, machine, &c.types[i])
			}
		})
	}
	c.requests[request.Request] = names
	return names, nil
}

func (c *fakeCloud) delete(names []string) {
	for _, name := range names {
		if r := c.find(name); r != nil && !r.deleted {
			r.deleted = true
			r.setStage(c.sim.now, "")
			if w := c.sim.agents[name]; w != nil {
				w.shutDown()
			}
		}
	}
}

// die lets a machine stop by itself; the list notices later.
func (c *fakeCloud) crash(name string) {
	machine := c.find(name)
	if machine == nil || machine.deleted {
		return
	}
	if w := c.sim.agents[name]; w != nil {
		w.shutDown()
	}
	c.sim.after(30*time.Second, func() {
		if !machine.deleted {
			machine.setStage(c.sim.now, protocol.MachineFailed)
		}
	})
}

func (c *fakeCloud) list() []protocol.CloudMachine {
	lag := time.Duration(c.sim.cluster.Cloud.ListLagSeconds * (0.5 + 1.5*c.sim.rand.Float64()) * float64(time.Second))
	asOf := c.sim.now - lag
	var out []protocol.CloudMachine
	for _, machine := range c.machines {
		stage := ""
		for _, h := range machine.stages {
			if h.at <= asOf {
				stage = h.stage
			}
		}
		if stage != "" {
			m := machine.CloudMachine
			m.Stage, m.AgeSeconds = stage, (asOf - machine.createdAt).Seconds()
			out = append(out, m)
		}
	}
	return out
}

// cloudLink is a process's way to the cloud.
type cloudLink struct{ process *process }

func (l cloudLink) sent(kind string, message any) {
	l.process.host.sim.trace.sentJSON(l.process.host.name, kind, message)
}

func (l cloudLink) call(do func(c *fakeCloud) func(), failed func(error)) {
	sim := l.process.host.sim
	sim.cloud.calls++
	sim.after(sim.delay(), func() {
		if sim.cloud.outage {
			sim.after(sim.delay(), l.process.guard(func() { failed(protocol.ErrNotExecuted) }))
			return
		}
		back := do(sim.cloud)
		if sim.rand.Float64() < sim.cloud.lostAnswerShare {
			sim.after(5*time.Second, l.process.guard(func() { failed(protocol.ErrOutcomeUnknown) }))
			return
		}
		sim.after(50*time.Millisecond, l.process.guard(back))
	})
}

// Catalogue implements coordination.Cloud.
func (l cloudLink) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	l.sent("machine types", nil)
	l.call(func(c *fakeCloud) func() {
		return func() { done(protocol.MachineTypeCatalogue{Types: c.types}, nil) }
	}, func(err error) { done(protocol.MachineTypeCatalogue{}, err) })
}

// Rent implements coordination.Cloud.
func (l cloudLink) CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error)) {
	l.sent("rent", r)
	l.call(func(c *fakeCloud) func() {
		names, err := c.create(r)
		return func() { done(names, err) }
	}, func(err error) { done(nil, err) })
}

// Delete implements coordination.Cloud.
func (l cloudLink) DeleteMachines(names []string, done func(error)) {
	l.sent("delete", names)
	l.call(func(c *fakeCloud) func() {
		c.delete(names)
		return func() { done(nil) }
	}, done)
}

// List implements coordination.Cloud.
func (l cloudLink) ListMachines(done func([]protocol.CloudMachine, error)) {
	l.sent("list machines", nil)
	l.call(func(c *fakeCloud) func() {
		list := c.list()
		return func() { done(list, nil) }
	}, func(err error) { done(nil, err) })
}
