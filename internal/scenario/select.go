package scenario

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"rockrun/internal/storage"
)

func (s *simulation) hostNamed(line *statement, name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	line.fail("no node %s", name)
	return &host{sim: s}
}

// hostNow looks a host up when something happens to it: by name, "leader", or
// "holder:N", the holder of shard N.
func (s *simulation) hostNow(name string) *host {
	if name == "leader" {
		return s.leaderHost()
	}
	if shard, ok := strings.CutPrefix(name, "holder:"); ok {
		n, err := strconv.Atoi(shard)
		var g storage.GrantRecord
		if it := s.store.items[storage.GrantKey(n)]; err == nil && it != nil && json.Unmarshal(it.Value, &g) == nil {
			name = g.Controller
		}
	}
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return s.hosts[0]
}

// hostsNow is hostNow with "all" and "healthy" as names: the latter are those that
// the state service serves.
func (s *simulation) hostsNow(name string) []*host {
	switch name {
	case "all":
		return s.hosts
	case "healthy":
		return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return s.store.refuses(h) })
	}
	return []*host{s.hostNow(name)}
}

// leaderHost is the host whose process leads now, or the first.
func (s *simulation) leaderHost() *host {
	for _, h := range s.hosts {
		if h.process != nil {
			if st, _ := h.process.controller.Autoscaler(); st.Leading {
				return h
			}
		}
	}
	return s.hosts[0]
}

// known fails unless a name means a host.
func (s *simulation) requireHost(line *statement, name string) {
	if name != "all" && name != "healthy" && name != "leader" && !strings.HasPrefix(name, "holder:") {
		s.hostNamed(line, name)
	}
}

// machines picks machines that are up: the one named, or with "some" a share of
// them all, of a zone where one is given.
func (s *simulation) machinesOf(line *statement) func() []*fakeAgent {
	name, zone, share := line.arg(0), line.text("zone", ""), line.number("share", 1)
	return func() []*fakeAgent {
		var out []*fakeAgent
		for _, r := range s.cloud.machines {
			x := s.agents[r.Name]
			if x != nil && (r.Name == name || name == "some" && (zone == "" || zone == r.Zone) && s.rand.Float64() < share) {
				out = append(out, x)
			}
		}
		return out
	}
}
