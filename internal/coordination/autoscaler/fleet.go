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

// Fleet is what is known of jobs and machines at one moment.
type Fleet struct {
	View *storage.View
	Now  time.Time // time of day
	// MachineStatus is what the holder of a machine last said of it.
	MachineStatus func(*storage.Machine) (status protocol.MachineStatus, known bool)
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration
	// HeartbeatTolerance is how long an agent that is well is silent at most.
	HeartbeatTolerance time.Duration
	// PartitionedZones are the zones most of whose machines are silent.
	PartitionedZones map[int]bool
	Objectives       []config.Objective
	// BootPatience is after how many of its boot times a machine counts as failed.
	BootPatience float64
	// SpareReplicas is for how many replicas of each kind of service room is kept.
	SpareReplicas int
}

// MachineAge is the time from a machine's creation to a time of day.
func MachineAge(m *storage.Machine, now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()-m.RentedAtMS) * time.Millisecond
}

// BootOverdue reports whether a machine should have come up long ago.
func (f *Fleet) BootOverdue(m *storage.Machine) bool {
	const graceSeconds = 5
	bootSeconds := f.View.MachineTypes[m.TypeIndex].BootSeconds
	return MachineAge(m, f.Now).Seconds() > bootSeconds*f.BootPatience+graceSeconds
}

// Supplies lists the machines that there are, by name.
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

// supplyOf is what a machine that is there will offer.
func (f *Fleet) supplyOf(m *storage.Machine) *Supply {
	machineType := &f.View.MachineTypes[m.TypeIndex]
	supply := NewSupply(machineType, Pool{MachineType: m.TypeIndex, Zone: m.ZoneIndex, Spot: m.Spot}, m.Shard)
	supply.Machine = m
	supply.Schedulable = m.Phase == storage.PhaseActive
	supply.bootSecondsLeft = 0
	for ref := range m.Intents {
		j := f.View.Jobs.Get(ref.Job)
		if !j.Ended() && !j.Completed.Has(ref.Task) { // else it is about to leave
			supply.host(machineType, j)
		}
	}
	f.applyStatus(supply)
	return supply
}

// applyStatus takes in what the holder of a machine says of it.
func (f *Fleet) applyStatus(supply *Supply) {
	machine := supply.Machine
	status, known := f.MachineStatus(machine)
	supply.Ready = known && status.Seen
	if !supply.Ready {
		supply.bootSecondsLeft = max(0, f.View.MachineTypes[machine.TypeIndex].BootSeconds-MachineAge(machine, f.Now).Seconds())
	}
	supply.MustLeave = known && (status.Faulty || status.Leaves)
	silent := known && (status.Seen || status.Tasks > 0) && status.Silent > f.silencePatience(machine)
	if supply.MustLeave || known && status.Unresponsive || silent {
		supply.Schedulable = false
		supply.Suspect = true
	}
	// What no holder has spoken of may well be up: a leader that can't hear the holder must
	// not rent the whole fleet anew.
	if known && !supply.Ready && f.BootOverdue(machine) {
		supply.Schedulable = false
	}
}

// silencePatience is how long a machine's agent may be silent before the machine is suspect.
func (f *Fleet) silencePatience(m *storage.Machine) time.Duration {
	if f.PartitionedZones[m.ZoneIndex] {
		return f.HeartbeatTolerance
	}
	return 3 * f.HeartbeatInterval
}

// SoleMachineTypes are the machine types that are the only ones for some unfinished work.
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

// StartSlackSeconds is how much time is left until a task of a job must start if the job is
// to meet its deadline; infinite for a job that has none.
func (f *Fleet) StartSlackSeconds(j *storage.Job) float64 {
	if j.DeadlineSeconds <= 0 {
		return math.Inf(1)
	}
	return j.DeadlineSeconds - placement.ExpectedRunSeconds(j) - float64(f.Now.UnixMilli()-j.SubmittedAtMS)/1000
}
