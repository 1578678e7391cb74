package config

import "fmt"

// Warning is a limit that rockrun starts with all the same, but that is likely to be
// too small.
type Warning struct {
	Field string // as in the file of settings
	Why   string
}

// What a controller was measured to take (simulated, see docs/operations.md).
const (
	baseMemoryMB       = 15.0
	connectionMemoryMB = 0.045
	machineMemoryMB    = 0.01

	minCores                 = 0.05 // the smallest that a fleet was run with is 0.06
	minSockets               = 256
	minValueKiB              = 2 // the smallest that a fleet was run with
	minTransactionOperations = 4 // the same
	// openSocketShare is how much of its sockets a controller keeps open between requests.
	openSocketShare = 0.75
	// minSocketsPerMachine is the fewest sockets for a machine that a fleet was run with.
	minSocketsPerMachine = 0.65
	// maxMachinesPerWrite is for how many machines one write a second was enough; at
	// 270 tasks waited for theirs.
	maxMachinesPerWrite = 200
)

// Warnings names the limits that are likely to be too small; 0 is no limit.
func (s *Settings) Warnings(options Options) []Warning {
	machines := options.FleetExpected
	return append(s.Cluster.ProcessLimits.warnings(machines), s.Cluster.KVStore.Limits().warnings(machines)...)
}

// warnings are of what the controller's process may take, with a fleet of so many machines.
func (l ProcessLimits) warnings(machines int) (list []Warning) {
	if l.Cores > 0 && l.Cores < minCores {
		list = append(list, Warning{"cluster.limits.cores", fmt.Sprintf("%g: no fleet was measured with less than %g", l.Cores, minCores)})
	}
	wantedSockets := minSocketsPerMachine * float64(machines)
	switch {
	case l.Sockets == 0:
	case l.Sockets < minSockets:
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: reports and commands will wait below %d", l.Sockets, minSockets)})
	case float64(l.Sockets) < wantedSockets:
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: no fleet of %d machines was measured with less than %.0f", l.Sockets, machines, wantedSockets)})
	}
	wantedMB := baseMemoryMB + connectionMemoryMB*openSocketShare*float64(l.Sockets) + machineMemoryMB*float64(machines)
	if l.MemoryMB > 0 && l.MemoryMB < wantedMB {
		list = append(list, Warning{"cluster.limits.mem_mb", fmt.Sprintf("%g: as many connections as fd_limit allows and %d machines take up to %.0f MB", l.MemoryMB, machines, wantedMB)})
	}
	return list
}

// warnings are of what the key-value store allows, now or later, with a fleet of so many
// machines.
func (l StoreLimits) warnings(machines int) (list []Warning) {
	if l.ValueBytes > 0 && l.ValueBytes < minValueKiB*1024 {
		list = append(list, Warning{"cluster.state.value_kb", fmt.Sprintf("%d bytes: no fleet was measured with less than %d KiB", l.ValueBytes, minValueKiB)})
	}
	if l.Operations > 0 && l.Operations < minTransactionOperations {
		list = append(list, Warning{"cluster.state.txn_ops", fmt.Sprintf("%d: no fleet was measured with less than %d", l.Operations, minTransactionOperations)})
	}
	if l.WriteRate > 0 && float64(machines) > maxMachinesPerWrite*l.WriteRate {
		list = append(list, Warning{"cluster.state.write_rps", fmt.Sprintf("%g: tasks of %d machines will wait for their records below %.0f", l.WriteRate, machines, float64(machines)/maxMachinesPerWrite)})
	}
	return list
}
