package provisioning

import (
	"cmp"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Provisioner runs the life cycle of all machines, for the leader. It must be used on the
// controller's goroutine.
type Provisioner struct {
	Config
	types     machineTypes
	list      *cloudList
	adoptions *adoptions
	scaleOuts *scaleOuts
	writer    *groupWriter
	moves     *moves
	deletions *deletions
	claims    *claims
	target    targetWriter
	history   history
	cycle     *cycle

	partitionedZones map[int]bool // zones most of whose machines are silent
}

// New makes a provisioner for a leader that has just been elected.
func New(c Config) *Provisioner {
	provisioner := &Provisioner{Config: c, cycle: newCycle(&c.Options), partitionedZones: map[int]bool{}}
	shared := &provisioner.Config
	provisioner.types.Config = shared
	provisioner.target.Config = shared
	provisioner.history.Config = shared
	provisioner.adoptions = newAdoptions(shared)
	provisioner.list = newCloudList(shared, provisioner.adoptions)
	provisioner.scaleOuts = newScaleOuts(shared, provisioner.adoptions, provisioner.cycle.runOnNextTick)
	provisioner.writer = newGroupWriter(shared, provisioner.urgency)
	provisioner.moves = newMoves(shared, provisioner.writer)
	provisioner.deletions = newDeletions(shared, provisioner.writer)
	provisioner.claims = newClaims(shared, provisioner.writer)
	return provisioner
}

// Tick does what is due. Nothing is before the machine types are known.
func (p *Provisioner) Tick() {
	now := p.now()
	p.types.refresh(now)
	if !p.types.known() {
		return
	}
	p.writer.begin()
	p.list.refresh(now)
	p.adoptions.write()
	p.moves.begin()
	p.advanceMachines()
	p.moves.write()
	p.scaleOuts.send(now)
	p.deletions.advance(now)
	p.runCycleWhenDue(now)
	p.writer.flush(now)
}

// OnUnrecordedHeartbeat takes up a machine whose agent has sent a heartbeat and that no
// record names.
func (p *Provisioner) OnUnrecordedHeartbeat(h *protocol.AgentHeartbeat) {
	p.adoptions.adopt(h.Machine, unrecordedMachine{h.Address, h.MachineType, h.Zone, h.Spot, p.wallMS()})
}

// History returns the last decisions on the size of the fleet, the latest first.
func (p *Provisioner) History() []Decision { return p.history.latestFirst() }

// OversizedGroups counts the machine groups whose records are over the limit in force: they
// are made smaller before they are written again.
func (p *Provisioner) OversizedGroups() int {
	count := 0
	for _, group := range p.view().MachineGroups {
		if !p.Committer.Fits(group.MachineGroupRecord) {
			count++
		}
	}
	return count
}

// fleet is what is known of jobs and machines now.
func (p *Provisioner) fleet() *autoscaler.Fleet {
	return &autoscaler.Fleet{
		View:               p.view(),
		Now:                p.Generation.Wall(),
		MachineStatus:      p.Members.MachineStatus,
		HeartbeatInterval:  p.Cluster.Agents.HeartbeatInterval(),
		HeartbeatTolerance: p.Members.HeartbeatTolerance(),
		PartitionedZones:   p.partitionedZones,
		Objectives:         p.Cluster.Objectives,
		BootPatience:       p.Options.BootPatience,
		SpareReplicas:      p.Options.SpareReplicas,
	}
}

// advanceMachines moves machines along: drained ones that are empty are decommissioned or
// go to a job shard that waits, lost ones are decommissioned, faulty ones drain.
func (p *Provisioner) advanceMachines() {
	counts := p.countMachines()
	p.partitionedZones = counts.partitionedZones()
	p.touchRemovableGroups()
	losses := &lossDetector{Config: &p.Config, list: p.list, fleet: p.fleet(), counts: counts, workBlocked: p.cycle.blocked.Holds()}
	addresses := addressRecorder{writer: p.writer, list: p.list}
	p.view().Machines.All(func(_ int, m *storage.Machine) {
		p.advance(m, losses, &addresses)
	})
}

// touchRemovableGroups has groups written that can go.
func (p *Provisioner) touchRemovableGroups() {
	for id, group := range p.view().MachineGroups {
		if p.writer.removable(&group.MachineGroupRecord) {
			p.writer.touch(id)
		}
	}
}

// advance moves one machine along.
func (p *Provisioner) advance(machine *storage.Machine, losses *lossDetector, addresses *addressRecorder) {
	switch machine.Phase {
	case storage.PhaseDeleted:
		p.Members.ForgetMachine(machine.Name)
		if p.list.expiredRecords[machine.Name] {
			p.writer.add(machineChange{machine: machine, forget: true})
		}
		return
	case storage.PhaseDecommissioning:
		return
	}
	if !machine.Exists() {
		return
	}
	status, known := p.Members.MachineStatus(machine)
	if p.advanceDrained(machine, status) {
		return
	}
	if reason := losses.reason(machine, status, known); reason != "" {
		p.writer.setPhase(machine, storage.PhaseDecommissioning, reason)
		return
	}
	if known && losses.retainedDuringPartition(machine, status) {
		return
	}
	if known && status.Faulty && machine.Phase == storage.PhaseActive {
		p.writer.setPhase(machine, storage.PhaseDraining, "faulty")
		return
	}
	addresses.record(machine, status)
}

// advanceDrained lets a drained machine that its holder calls empty go to a job shard that
// waits for its like, or back to the cloud.
func (p *Provisioner) advanceDrained(m *storage.Machine, status protocol.MachineStatus) bool {
	if m.Phase != storage.PhaseDraining || status.Empty == 0 || status.Empty != m.DrainStamp {
		return false
	}
	if shard := p.takeShardFor(m); shard >= 0 && !status.Faulty && !status.Leaves {
		p.moves.add(m, shard)
		return true
	}
	p.writer.add(machineChange{machine: m, phase: storage.PhaseDecommissioning, reason: "empty", holderSaysEmpty: true})
	return true
}

// takeShardFor is the job shard whose waiting work a machine of another suits, or -1. What
// it would serve is taken off that work.
func (p *Provisioner) takeShardFor(m *storage.Machine) int {
	if shard, claimed := p.claims.byMachine[m.Name]; claimed {
		return shard
	}
	return p.cycle.unmet.TakeShardFor(m, p.view())
}

// urgency is how much depends on a change being written soon: replicas that can't start
// elsewhere or wait for the machine, then other tasks, then only money.
func (p *Provisioner) urgency(change machineChange) int {
	const (
		moneyOnly = iota
		tasksWait
		claimWaits
		replicasWait
	)
	m := change.machine
	lost := change.phase == storage.PhaseDecommissioning || change.phase == storage.PhaseDeleted
	switch {
	case lost && hostsReplicas(m, p.view()), change.evict:
		return replicasWait
	case p.claims.claimed(m):
		return claimWaits
	case lost && len(m.Intents) > 0, change.phase == storage.PhaseActive:
		return tasksWait
	}
	return moneyOnly
}

// addressRecorder records addresses for whoever holds a machine next. Nothing waits for
// that, so it is one group a tick, and the others of the group come with it.
type addressRecorder struct {
	writer  *groupWriter
	list    *cloudList
	written bool
}

// record takes up a machine's address, where writes are plenty.
func (r *addressRecorder) record(machine *storage.Machine, status protocol.MachineStatus) {
	const idleBudget = 0.9 // of the writes of a second are there
	budget := &r.writer.Committer.Budget
	if machine.Address != "" || r.written || budget.Level() <= budget.Rate()*idleBudget {
		return
	}
	address := cmp.Or(status.Addr, r.list.addresses[machine.Name])
	if address == "" {
		return
	}
	r.written = !r.writer.pending(machine) && len(r.writer.changes[machine.Group]) == 0
	r.writer.add(machineChange{machine: machine, address: address})
}
