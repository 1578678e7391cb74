package transport

import (
	"testing"

	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// metricValue is what a metric with a label of a value, or without labels, stands at; -1
// where there is none.
func metricValue(t *testing.T, m *Metrics, name, label string) float64 {
	t.Helper()
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, metric := range f.GetMetric() {
			if label != "" && (len(metric.GetLabel()) != 1 || metric.GetLabel()[0].GetValue() != label) {
				continue
			}
			if f.GetType().String() == "GAUGE" {
				return metric.GetGauge().GetValue()
			}
			return metric.GetCounter().GetValue()
		}
	}
	return -1
}

// TestCountsByKind: every call to the outside is counted once, by how it ended.
func TestCountsByKind(t *testing.T) {
	metrics := NewMetrics(NewLimiter(4, 100))
	metrics.Limits(0.06, 81)
	metrics.Controller(func() coordination.Stats {
		return coordination.Stats{Passes: 7, JobsReleased: 3, JobsCancelledByDependency: 2, JobsAwaitingDependencies: 5, OversizedValues: 1}
	})
	backend := unreachableBackend(runLoop(t), metrics)
	ended := make(chan error, 2)
	backend.KVStore.Commit(protocol.Transaction{}, func(_ uint64, err error) { ended <- err })
	backend.Agents.Execute(nowhere, protocol.CommandRequest{}, func(_ *protocol.AgentHeartbeat, _ bool, err error) { ended <- err })
	for range 2 {
		if err := <-ended; err == nil {
			t.Fatal("nobody listens there")
		}
	}
	for _, c := range []struct {
		name, label string
		want        float64
	}{
		{"rockrun_transactions_total", "unknown", 1},
		{"rockrun_transactions_total", "done", -1},
		{"rockrun_commands_total", "unknown", 1},
		{"rockrun_changes_total", "", 0},
		{"rockrun_passes_total", "", 7},
		{"rockrun_jobs_released_total", "", 3},
		{"rockrun_jobs_cancelled_with_another_total", "", 2},
		{"rockrun_jobs_waiting", "", 5},
		{"rockrun_oversized_values", "", 1},
		{"rockrun_limit_cores", "", 0.06},
		{"rockrun_limit_memory_bytes", "", 81 << 20},
	} {
		if got := metricValue(t, metrics, c.name, c.label); got != c.want {
			t.Errorf("%s %s: %v, not %v", c.name, c.label, got, c.want)
		}
	}
}
