package config

import "fmt"

// Warning reports a limit that is likely to be too small. rockrun starts nevertheless.
type Warning struct {
	Field  string // path in the settings file
	Reason string
}

// Memory that a controller needs in MB (base, per connection and per machine), and the thresholds
// below which a limit causes a warning; see docs/operations.md.
const (
	baseMemoryMB       = 15.0
	connectionMemoryMB = 0.045
	machineMemoryMB    = 0.01

	minCores                 = 0.05 // cores; somewhat below 0.06, the lowest supported value
	minSockets               = 256
	minValueKiB              = 2 // KiB, smallest limit on the size of a stored value without a warning
	minTransactionOperations = 4 // operations, smallest limit on one transaction without a warning
	// openSocketShare is the share of its sockets that a controller keeps open between requests.
	openSocketShare = 0.75
	// minSocketsPerMachine is the number of sockets per machine below which fd_limit causes a
	// warning.
	minSocketsPerMachine = 0.65
	// maxMachinesPerWrite is the number of machines for which one write per second is enough;
	// with more, write_rps causes a warning. With 270 machines, tasks waited for the writes of
	// their records.
	maxMachinesPerWrite = 200
)

// Warnings returns the limits that are likely to be too small; 0 means no limit.
func (s *Settings) Warnings(options Options) []Warning {
	machines := options.FleetExpected
	return append(s.Cluster.ProcessLimits.warnings(machines), s.Cluster.KVStore.Limits().warnings(machines)...)
}

// warnings returns the process limits that are likely to be too small for a number of machines.
func (l ProcessLimits) warnings(machines int) (list []Warning) {
	if l.Cores > 0 && l.Cores < minCores {
		list = append(list, Warning{"cluster.limits.cores", fmt.Sprintf("%g: no fleet was measured with less than %g", l.Cores, minCores)})
	}
	recommendedSockets := minSocketsPerMachine * float64(machines)
	switch {
	case l.Sockets == 0:
	case l.Sockets < minSockets:
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: heartbeats and commands are delayed below %d", l.Sockets, minSockets)})
	case float64(l.Sockets) < recommendedSockets:
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: no fleet of %d machines was measured with less than %.0f", l.Sockets, machines, recommendedSockets)})
	}
	recommendedMB := baseMemoryMB + connectionMemoryMB*openSocketShare*float64(l.Sockets) + machineMemoryMB*float64(machines)
	if l.MemoryMB > 0 && l.MemoryMB < recommendedMB {
		list = append(list, Warning{"cluster.limits.mem_mb", fmt.Sprintf("%g: the connections that fd_limit allows and %d machines need up to %.0f MB", l.MemoryMB, machines, recommendedMB)})
	}
	return list
}

// warnings returns the limits of the key-value store, current or announced, that are likely to
// be too small for a number of machines.
func (l StoreLimits) warnings(machines int) (list []Warning) {
	if l.ValueBytes > 0 && l.ValueBytes < minValueKiB*1024 {
		list = append(list, Warning{"cluster.state.value_kb", fmt.Sprintf("%d bytes: no fleet was measured with less than %d KiB", l.ValueBytes, minValueKiB)})
	}
	if l.Operations > 0 && l.Operations < minTransactionOperations {
		list = append(list, Warning{"cluster.state.txn_ops", fmt.Sprintf("%d: no fleet was measured with less than %d", l.Operations, minTransactionOperations)})
	}
	if l.WriteRate > 0 && float64(machines) > maxMachinesPerWrite*l.WriteRate {
		list = append(list, Warning{"cluster.state.write_rps", fmt.Sprintf("%g: for %d machines, record writes delay tasks below %.0f", l.WriteRate, machines, float64(machines)/maxMachinesPerWrite)})
	}
	return list
}
