package autoscaler

// spareCapacity tracks how many replicas fit on the machines beyond the spare capacity that
// is reserved for services.
type spareCapacity struct {
	planner *Planner
	spares  []Demand
	surplus []int // replicas that fit beyond the reserved number, by index in spares
}

func newSpareCapacity(p *Planner, spares []Demand) *spareCapacity {
	c := &spareCapacity{planner: p, spares: spares}
	for i := range spares {
		c.surplus = append(c.surplus, p.replicasThatFit(&spares[i])-spares[i].Count)
	}
	return c
}

// tryRemove subtracts the replicas that fit on a machine from the surplus and returns true.
// It returns false and changes nothing if the reserved capacity needs the machine.
func (c *spareCapacity) tryRemove(supply *Supply) bool {
	for i := range c.spares {
		if count := c.planner.replicasThatFitOn(supply, &c.spares[i]); count > 0 && count > c.surplus[i] {
			return false
		}
	}
	for i := range c.spares {
		c.surplus[i] -= c.planner.replicasThatFitOn(supply, &c.spares[i])
	}
	return true
}
