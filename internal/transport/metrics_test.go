package transport

import (
	"testing"

	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// metricValue returns the value of a counter or gauge with the given label value, or without
// labels if label is empty. It returns -1 if there is no such metric.
func metricValue(t *testing.T, m *Metrics, name, label string) float64 {
	t.Helper()
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			if label != "" && (len(metric.GetLabel()) != 1 || metric.GetLabel()[0].GetValue() != label) {
				continue
			}
			if family.GetType().String() == "GAUGE" {
				return metric.GetGauge().GetValue()
			}
			return metric.GetCounter().GetValue()
		}
	}
	return -1
}

// TestCallCountsByResult checks that every outbound call is counted once, by its result, and that
// the controller's counts and limits are exported under their metric names.
func TestCallCountsByResult(t *testing.T) {
	metrics := NewMetrics(NewLimiter(4, 100))
	metrics.RegisterLimits(0.06, 81)
	metrics.RegisterController(func() coordination.Stats {
		return coordination.Stats{Passes: 7, CommandsDeferred: 9, JobsReleased: 3, JobsCancelledByDependency: 2, JobsAwaitingDependencies: 5, OversizedValues: 1}
	})
	backend := unreachableBackend(runLoop(t), metrics)
	ended := make(chan error, 2)
	backend.KVStore.Commit(protocol.Transaction{}, func(_ uint64, err error) { ended <- err })
	backend.Agents.Execute(unreachableAddr, protocol.CommandRequest{}, func(_ *protocol.AgentHeartbeat, _ bool, err error) { ended <- err })
	for range 2 {
		if err := <-ended; err == nil {
			t.Fatal("a call to an unreachable address succeeded")
		}
	}
	for _, test := range []struct {
		name, label string
		want        float64
	}{
		{"rockrun_transactions_total", "unknown", 1},
		{"rockrun_transactions_total", "done", -1},
		{"rockrun_commands_total", "unknown", 1},
		{"rockrun_changes_total", "", 0},
		{"rockrun_passes_total", "", 7},
		{"rockrun_commands_deferred_total", "", 9},
		{"rockrun_jobs_released_total", "", 3},
		{"rockrun_jobs_cancelled_with_another_total", "", 2},
		{"rockrun_jobs_waiting", "", 5},
		{"rockrun_oversized_values", "", 1},
		{"rockrun_limit_cores", "", 0.06},
		{"rockrun_limit_memory_bytes", "", 81 << 20},
	} {
		if got := metricValue(t, metrics, test.name, test.label); got != test.want {
			t.Errorf("%s %s: %v, want %v", test.name, test.label, got, test.want)
		}
	}
}
