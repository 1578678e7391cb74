package reconcile

import (
	"cmp"
	"slices"
)

// agentTable holds the agents of the machines held by this controller.
type agentTable struct {
	byName map[string]*agent
	sorted []*agent // the same agents, sorted by machine name
}

// find returns the agent of a machine, or nil.
func (t *agentTable) find(machine string) *agent { return t.byName[machine] }

// contains reports whether the table holds this agent itself, not a later one of the same
// machine.
func (t *agentTable) contains(a *agent) bool { return t.byName[a.machine.Name] == a }

func (t *agentTable) insert(a *agent) {
	name := a.machine.Name
	t.byName[name] = a
	i, _ := slices.BinarySearchFunc(t.sorted, name, func(other *agent, name string) int { return cmp.Compare(other.machine.Name, name) })
	t.sorted = slices.Insert(t.sorted, i, a)
}

func (t *agentTable) remove(a *agent) {
	delete(t.byName, a.machine.Name)
	t.sorted = slices.DeleteFunc(t.sorted, func(other *agent) bool { return other == a })
}
