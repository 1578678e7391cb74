package config

import "testing"

// TestWarnings checks that Warnings reports every limit that is too small and no other.
func TestWarnings(t *testing.T) {
	const cores, sockets, memory = "cluster.limits.cores", "cluster.limits.fd_limit", "cluster.limits.mem_mb"
	const value, operations, writes = "cluster.state.value_kb", "cluster.state.txn_ops", "cluster.state.write_rps"
	lowerValue, lowerOperations := 1.5, 3
	store := KVStore{RequestsPerSecond: 200, WritesPerSecond: 15, ValueKiB: 2, TransactionOperations: 4}
	for name, c := range map[string]struct {
		limits ProcessLimits
		store  KVStore
		fleet  int
		fields []string
	}{
		"no limits":         {fields: nil},
		"enough":            {limits: ProcessLimits{Cores: 0.06, MemoryMB: 81, Sockets: 1500}, store: store, fleet: 1400},
		"few cores":         {limits: ProcessLimits{Cores: 0.02, MemoryMB: 81, Sockets: 1500}, fields: []string{cores}},
		"few sockets":       {limits: ProcessLimits{Cores: 1, MemoryMB: 81, Sockets: 100}, fields: []string{sockets}},
		"sockets by fleet":  {limits: ProcessLimits{Sockets: 1500}, fleet: 4000, fields: []string{sockets}},
		"memory by sockets": {limits: ProcessLimits{Cores: 1, MemoryMB: 60, Sockets: 1500}, fields: []string{memory}},
		"memory by fleet":   {limits: ProcessLimits{MemoryMB: 200, Sockets: 5000}, fleet: 4000, fields: []string{memory}},
		"all of a process":  {limits: ProcessLimits{Cores: 0.01, MemoryMB: 10, Sockets: 10}, fields: []string{cores, sockets, memory}},
		"small announced":   {store: KVStore{RequestsPerSecond: 200, WritesPerSecond: 20, ValueKiB: 4, TransactionOperations: 8, Announced: &AnnouncedLimits{ValueKiB: &lowerValue, TransactionOperations: &lowerOperations}}, fields: []string{value, operations}},
		"writes by fleet":   {store: store, fleet: 4000, fields: []string{writes}},
	} {
		t.Run(name, func(t *testing.T) {
			got := (&Settings{Cluster: Cluster{ProcessLimits: c.limits, KVStore: c.store}}).Warnings(Options{FleetExpected: c.fleet})
			if len(got) != len(c.fields) {
				t.Fatalf("%v", got)
			}
			for i, field := range c.fields {
				if got[i].Field != field || got[i].Reason == "" {
					t.Errorf("%v", got)
				}
			}
		})
	}
}
