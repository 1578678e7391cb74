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
	leastCores         = 0.05 // the smallest that a fleet was run with is 0.06
	leastSockets       = 256
	// openShare is how much of its sockets a controller keeps open between requests.
	openShare = 0.75
)

// Warnings names the limits that are likely to be too small; 0 is no limit.
func (s *Settings) Warnings() []Warning {
	var list []Warning
	limits := s.Cluster.Limits
	if limits.Cores > 0 && limits.Cores < leastCores {
		list = append(list, Warning{"cluster.limits.cores", fmt.Sprintf("%g: no fleet was measured with less than %g", limits.Cores, leastCores)})
	}
	if limits.Sockets > 0 && limits.Sockets < leastSockets {
		list = append(list, Warning{"cluster.limits.fd_limit", fmt.Sprintf("%d: reports and commands will wait below %d", limits.Sockets, leastSockets)})
	}
	need := baseMemoryMB + connectionMemoryMB*openShare*float64(limits.Sockets)
	if limits.MemoryMB > 0 && limits.MemoryMB < need {
		list = append(list, Warning{"cluster.limits.mem_mb", fmt.Sprintf("%g: as many connections as fd_limit allows take up to %.0f MB", limits.MemoryMB, need)})
	}
	return list
}
