package config

import "fmt"

// Warning is a limit that rockrun starts with all the same, but that is likely to be
// too small.
type Warning struct {
	Field string
	Why   string
}

// What a controller was measured to take (simulated, see docs/operations.md).
const (
	baseMemoryMB       = 15.0
	connectionMemoryMB = 0.045
	machineMemoryMB    = 0.01
	leastCores         = 0.05 // the smallest that a fleet was run with is 0.06
	leastSockets       = 256
	leastValueKB       = 2 // the smallest that a fleet was run with
	leastTxnOps        = 4 // the same
	// openShare is how much of its sockets a controller keeps open between requests.
	openShare = 0.75
	// leastSocketShare is the fewest sockets for a machine that a fleet was run with.
	leastSocketShare = 0.65
	// mostMachinesPerWrite is for how many machines one write a second was enough; at
	// 270 tasks waited for theirs.
	mostMachinesPerWrite = 200
)

// Warnings names the limits that are likely to be too small; 0 is no limit.
func (s *Settings) Warnings(o Options) []Warning {
	return append(s.machineWarnings(o.FleetExpected), s.stateWarnings(o.FleetExpected)...)
}

// machineWarnings are of the machine that the controller runs on.
func (s *Settings) machineWarnings(fleet int) (list []Warning) {
	limits := s.Cluster.ProcessLimits
	if limits.Cores > 0 && limits.Cores < leastCores {
		list = append(list, Warning{"cluster.limits.cores", fmt.Sprintf("%g: no fleet was measured with less than %g", limits.Cores, leastCores)})
	}
	switch {
	case limits.Sockets == 0:
	case limits.Sockets < leastSockets:
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: reports and commands will wait below %d", limits.Sockets, leastSockets)})
	case float64(limits.Sockets) < leastSocketShare*float64(fleet):
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: no fleet of %d machines was measured with less than %.0f", limits.Sockets, fleet, leastSocketShare*float64(fleet))})
	}
	need := baseMemoryMB + connectionMemoryMB*openShare*float64(limits.Sockets) + machineMemoryMB*float64(fleet)
	if limits.MemoryMB > 0 && limits.MemoryMB < need {
		list = append(list, Warning{"cluster.limits.mem_mb", fmt.Sprintf("%g: as many connections as fd_limit allows and %d machines take up to %.0f MB", limits.MemoryMB, fleet, need)})
	}
	return list
}

// stateWarnings are of what the state service allows, now or later.
func (s *Settings) stateWarnings(fleet int) (list []Warning) {
	limits := s.Cluster.KVStore.Limits()
	if limits.ValueBytes > 0 && limits.ValueBytes < leastValueKB*1024 {
		list = append(list, Warning{"cluster.state.value_kb", fmt.Sprintf("%d bytes: no fleet was measured with less than %d KiB", limits.ValueBytes, leastValueKB)})
	}
	if limits.Operations > 0 && limits.Operations < leastTxnOps {
		list = append(list, Warning{"cluster.state.txn_ops", fmt.Sprintf("%d: no fleet was measured with less than %d", limits.Operations, leastTxnOps)})
	}
	if limits.WriteRate > 0 && float64(fleet) > mostMachinesPerWrite*limits.WriteRate {
		list = append(list, Warning{"cluster.state.write_rps", fmt.Sprintf("%g: tasks of %d machines will wait for their records below %.0f", limits.WriteRate, fleet, float64(fleet)/mostMachinesPerWrite)})
	}
	return list
}
