package autoscaler

// spareCapacity is the room that job shards have beyond what is kept for services.
type spareCapacity struct {
	planner *Planner
	spares  []Demand
	surplus []int // by spare
}

func newSpareCapacity(p *Planner, spares []Demand) *spareCapacity {
	c := &spareCapacity{planner: p, spares: spares}
	for i := range spares {
		c.surplus = append(c.surplus, p.replicasThatFit(&spares[i])-spares[i].Count)
	}
	return c
}

// take takes a machine's room off if the spare capacity can do without it, and reports
// whether it did.
func (c *spareCapacity) take(x *Supply) bool {
	for i := range c.spares {
		if count := c.planner.replicasThatFitOn(x, &c.spares[i]); count > 0 && count > c.surplus[i] {
			return false
		}
	}
	for i := range c.spares {
		c.surplus[i] -= c.planner.replicasThatFitOn(x, &c.spares[i])
	}
	return true
}
