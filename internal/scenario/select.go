package scenario

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"rockrun/internal/storage"
)

// Names that mean controllers other than by their own name.
const (
	nameAll      = "all"
	nameHealthy  = "healthy" // those that the store serves
	nameLeader   = "leader"
	holderPrefix = "holder:" // and a shard
)

// nameSome means a share of the machines.
const nameSome = "some"

// findHost looks a host up by its name, or returns nil.
func (s *simulation) findHost(name string) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// hostNamed looks up a host that a line names.
func (s *simulation) hostNamed(line *statement, name string) *host {
	if found := s.findHost(name); found != nil {
		return found
	}
	line.fail("no controller %s", name)
	return &host{sim: s}
}

// requireHost fails a line unless a name means one or more hosts.
func (s *simulation) requireHost(line *statement, name string) {
	switch {
	case name == nameAll, name == nameHealthy, name == nameLeader, strings.HasPrefix(name, holderPrefix):
	default:
		s.hostNamed(line, name)
	}
}

// hostNow looks a host up when something happens to it: by name, as the leader, or as the
// holder of a shard. It is the first one where there is none such.
func (s *simulation) hostNow(name string) *host {
	if name == nameLeader {
		return s.leaderHost()
	}
	if shard, ok := strings.CutPrefix(name, holderPrefix); ok {
		name = s.holderOf(shard)
	}
	if found := s.findHost(name); found != nil {
		return found
	}
	return s.hosts[0]
}

// holderOf is the controller that the store names as the holder of a shard.
func (s *simulation) holderOf(shard string) string {
	number, err := strconv.Atoi(shard)
	item := s.store.items[storage.GrantKey(number)]
	if err != nil || item == nil {
		return ""
	}
	var grant storage.GrantRecord
	if json.Unmarshal(item.Value, &grant) != nil {
		return ""
	}
	return grant.Controller
}

// hostsNow is hostNow with the names that mean several.
func (s *simulation) hostsNow(name string) []*host {
	switch name {
	case nameAll:
		return s.hosts
	case nameHealthy:
		return slices.DeleteFunc(slices.Clone(s.hosts), s.store.isUnavailableTo)
	}
	return []*host{s.hostNow(name)}
}

// leaderHost is the host whose process leads now, or the first.
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

// agentsOf picks machines that are up: the one that a line names, or a share of them
// all, of a zone where one is given.
func (s *simulation) machinesOf(line *statement) func() []*fakeAgent {
	name, zone, share := line.arg(0), line.text("zone", ""), line.number("share", 1)
	picked := func(machine *fakeMachine) bool {
		return machine.Name == name || name == nameSome && (zone == "" || zone == machine.Zone) && s.rand.Float64() < share
	}
	return func() []*fakeAgent {
		var agents []*fakeAgent
		for _, machine := range s.cloud.machines {
			if agent := s.agents[machine.Name]; agent != nil && picked(machine) {
				agents = append(agents, agent)
			}
		}
		return agents
	}
}
