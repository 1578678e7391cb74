package scenario

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"rockrun/internal/storage"
)

// Names in a script that select controllers by role rather than by name.
const (
	nameAll      = "all"
	nameHealthy  = "healthy" // controllers that the store serves
	nameLeader   = "leader"
	holderPrefix = "holder:" // followed by a shard number
)

// nameSome selects a random share of the machines.
const nameSome = "some"

// findHost returns the host with a name, or nil.
func (s *simulation) findHost(name string) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// requireHost returns the host with a name. If there is none, it fails the line and returns
// a placeholder.
func (s *simulation) requireHost(line *statement, name string) *host {
	if found := s.findHost(name); found != nil {
		return found
	}
	line.fail("%s: unknown controller %q", line.verb, name)
	return &host{sim: s}
}

// validateHostName fails a line unless the name is that of a host or selects hosts by role.
func (s *simulation) validateHostName(line *statement, name string) {
	switch {
	case name == nameAll, name == nameHealthy, name == nameLeader, strings.HasPrefix(name, holderPrefix):
	default:
		s.requireHost(line, name)
	}
}

// resolveHost resolves a host name, leader or holder:N at the time of the call. It returns the
// first host if no host matches.
func (s *simulation) resolveHost(name string) *host {
	if name == nameLeader {
		return s.leaderHost()
	}
	if shard, ok := strings.CutPrefix(name, holderPrefix); ok {
		name = s.shardHolder(shard)
	}
	if found := s.findHost(name); found != nil {
		return found
	}
	return s.hosts[0]
}

// shardHolder returns the holder of a shard according to the grant in the store, or an empty
// string.
func (s *simulation) shardHolder(shard string) string {
	shardNumber, err := strconv.Atoi(shard)
	item := s.store.items[storage.GrantKey(shardNumber)]
	if err != nil || item == nil {
		return ""
	}
	var grant storage.GrantRecord
	if json.Unmarshal(item.Value, &grant) != nil {
		return ""
	}
	return grant.Controller
}

// resolveHosts is like resolveHost, but also accepts the names that select several hosts.
func (s *simulation) resolveHosts(name string) []*host {
	switch name {
	case nameAll:
		return s.hosts
	case nameHealthy:
		return slices.DeleteFunc(slices.Clone(s.hosts), s.store.isUnavailableTo)
	}
	return []*host{s.resolveHost(name)}
}

// leaderHost returns the host whose controller is the leader, or the first host if there is
// none.
func (s *simulation) leaderHost() *host {
	for _, h := range s.hosts {
		if h.process == nil || !h.process.started {
			continue
		}
		if status, _ := h.process.controller.Autoscaler(); status.Leading {
			return h
		}
	}
	return s.hosts[0]
}

// agentSelector returns a function that selects the agents of running machines: the machine
// that the line names, or a random share of all machines, restricted to a zone if the line
// names one.
func (s *simulation) agentSelector(line *statement) func() []*fakeAgent {
	name, zone, share := line.arg(0), line.text("zone", ""), line.number("share", 1)
	selected := func(machine *fakeMachine) bool {
		return machine.Name == name || name == nameSome && (zone == "" || zone == machine.Zone) && s.rand.Float64() < share
	}
	return func() []*fakeAgent {
		var agents []*fakeAgent
		for _, machine := range s.cloud.machines {
			if agent := s.agents[machine.Name]; agent != nil && selected(machine) {
				agents = append(agents, agent)
			}
		}
		return agents
	}
}
