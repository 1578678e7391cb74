package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Fleet is a snapshot of jobs and machines.
type Fleet struct {
	View *storage.View
	Now  time.Time // wall clock time
	// MachineStatus returns the last status that the holder of a machine has reported.
	MachineStatus func(*storage.Machine) (status protocol.MachineStatus, known bool)
	// HeartbeatInterval is the interval at which an agent sends heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatTolerance is the longest gap between two heartbeats of a healthy agent.
	HeartbeatTolerance time.Duration
	// PartitionedZones are the zones in which most machines send no heartbeats.
	PartitionedZones map[int]bool
	Objectives       []config.Objective
	// BootTimeoutFactor is the multiple of a machine type's boot time after which a boot counts as
	// failed.
	BootTimeoutFactor float64
	// SpareReplicas is the number of replicas of each shape of service for which spare
	// capacity is reserved.
	SpareReplicas int
}

// MachineAge returns the time from a machine's creation to now, by the wall clock.
func MachineAge(m *storage.Machine, now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.CreatedAtMS) * time.Millisecond
}

// BootOverdue reports whether a machine's age exceeds the boot timeout of its type.
func (f *Fleet) BootOverdue(m *storage.Machine) bool {
	const graceSeconds = 5
	bootSeconds := f.View.MachineTypes[m.TypeIndex].BootSeconds
	return MachineAge(m, f.Now).Seconds() > bootSeconds*f.BootTimeoutFactor+graceSeconds
}

// Supplies returns the supplies of all machines that exist and are not being
// decommissioned, sorted by name.
func (f *Fleet) Supplies() []*Supply {
	var supplies []*Supply
	f.View.Machines.All(func(_ int, m *storage.Machine) {
		if m.Exists() && m.Phase != storage.PhaseDecommissioning {
			supplies = append(supplies, f.supplyOf(m))
		}
	})
	slices.SortFunc(supplies, func(a, b *Supply) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
	return supplies
}

// supplyOf returns the supply of an existing machine.
func (f *Fleet) supplyOf(m *storage.Machine) *Supply {
	machineType := &f.View.MachineTypes[m.TypeIndex]
	supply := NewSupply(machineType, Pool{MachineType: m.TypeIndex, Zone: m.ZoneIndex, Spot: m.Spot}, m.Shard)
	supply.Machine = m
	supply.Schedulable = m.Phase == storage.PhaseActive
	supply.bootSecondsLeft = 0
	for ref := range m.Intents {
		j := f.View.Jobs.Get(ref.Job)
		if !j.Ended() && !j.Completed.Has(ref.Task) { // a completed task will release its resources soon
			supply.addTask(machineType, j)
		}
	}
	f.applyStatus(supply)
	return supply
}

// applyStatus applies the status that the holder of a machine has reported.
func (f *Fleet) applyStatus(supply *Supply) {
	machine := supply.Machine
	status, known := f.MachineStatus(machine)
	supply.Ready = known && status.Seen
	if !supply.Ready {
		supply.bootSecondsLeft = max(0, f.View.MachineTypes[machine.TypeIndex].BootSeconds-MachineAge(machine, f.Now).Seconds())
	}
	supply.MustDrain = known && (status.Faulty || status.Leaves)
	silent := known && (status.Seen || status.Tasks > 0) && status.Silent > f.heartbeatTimeout(machine)
	if supply.MustDrain || known && status.Unresponsive || silent {
		supply.Schedulable = false
		supply.Suspect = true
	}
	// A machine without a reported status may be up: a leader that cannot reach the holder
	// must not replace the whole fleet.
	if known && !supply.Ready && f.BootOverdue(machine) {
		supply.Schedulable = false
	}
}

// heartbeatTimeout returns the time without heartbeats after which a machine is suspect.
func (f *Fleet) heartbeatTimeout(m *storage.Machine) time.Duration {
	if f.PartitionedZones[m.ZoneIndex] {
		return f.HeartbeatTolerance
	}
	return 3 * f.HeartbeatInterval
}

// SoleMachineTypes returns the machine types that are the only fitting type of some runnable
// job.
func (f *Fleet) SoleMachineTypes() map[int]bool {
	sole := map[int]bool{}
	f.View.Jobs.All(func(_ int, j *storage.Job) {
		if !j.Runnable() {
			return
		}
		last, count := 0, 0
		for machineType := range f.View.MachineTypes {
			if f.View.FitsMachineType(j, machineType) {
				last = machineType
				count++
			}
		}
		if count == 1 {
			sole[last] = true
		}
	})
	return sole
}

// StartSlackSeconds returns the time left until a task of a job must start for the job to
// meet its deadline; infinite for a job without a deadline.
func (f *Fleet) StartSlackSeconds(j *storage.Job) float64 {
	if j.DeadlineSeconds <= 0 {
		return math.Inf(1)
	}
	return j.DeadlineSeconds - placement.ExpectedRunSeconds(j) - float64(f.Now.UnixMilli()-j.SubmittedAtMS)/1000
}
