package config

import "testing"

// TestWarnings: each limit that is too small is named, and none that is not.
func TestWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		fields []string
	}{
		"none given":        {Limits{}, nil},
		"enough":            {Limits{Cores: 0.06, MemoryMB: 81, Sockets: 1500}, nil},
		"few cores":         {Limits{Cores: 0.02, MemoryMB: 81, Sockets: 1500}, []string{"cluster.limits.cores"}},
		"few sockets":       {Limits{Cores: 1, MemoryMB: 81, Sockets: 100}, []string{"cluster.limits.fd_limit"}},
		"memory by sockets": {Limits{Cores: 1, MemoryMB: 60, Sockets: 1500}, []string{"cluster.limits.mem_mb"}},
		"all":               {Limits{Cores: 0.01, MemoryMB: 10, Sockets: 10}, []string{"cluster.limits.cores", "cluster.limits.fd_limit", "cluster.limits.mem_mb"}},
	} {
		got := (&Settings{Cluster: Cluster{Limits: c.limits}}).Warnings()
		if len(got) != len(c.fields) {
			t.Errorf("%s: %v", name, got)
			continue
		}
		for i, field := range c.fields {
			if got[i].Field != field || got[i].Why == "" {
				t.Errorf("%s: %v", name, got[i])
			}
		}
	}
}
