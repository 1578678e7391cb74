package provisioning

import (
	"fmt"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// cycle is when the size of the fleet is decided on, and what one decision leaves for the
// next.
type cycle struct {
	interval       time.Duration
	scaleOutWindow time.Duration // how long work is blocked before machines are created
	nextAt         time.Duration
	blocked        loop.Window // work waits for machines
	scaleIn        *autoscaler.ScaleIn
	unmet          autoscaler.Unmet // what the last cycle found no room for
}

func newCycle(o *config.Options) *cycle {
	return &cycle{
		interval:       config.Seconds(o.CycleSeconds),
		scaleOutWindow: config.Seconds(o.ScaleOutWindowSeconds),
		scaleIn: autoscaler.NewScaleIn(autoscaler.ScaleInConfig{
			Window:      config.Seconds(o.ScaleInWindowSeconds),
			Below:       o.ScaleInBelow,
			MinMachines: o.FleetMin,
		}),
	}
}

// runSoon lets the next decision come with the next tick.
func (c *cycle) runSoon() { c.nextAt = 0 }

// runCycleWhenDue decides on the size of the fleet at intervals.
func (p *Provisioner) runCycleWhenDue(now time.Duration) {
	if now >= p.cycle.nextAt {
		p.cycle.nextAt = now + p.cycle.interval
		p.runCycle(now)
	}
}

// runCycle scales out for what there is no room for, and scales in what is not needed.
func (p *Provisioner) runCycle(now time.Duration) {
	fleet := p.fleet()
	demands := fleet.Demands()
	supplies := fleet.Supplies()
	booked := autoscaler.BookedShare(supplies, p.view().MachineTypes)
	supplies = append(supplies, p.scaleOuts.supplies()...)
	supplies = append(supplies, p.adoptions.supplies()...)
	planner := p.newPlanner(fleet, supplies)
	unmet := planner.Unmet(demands)
	spares := fleet.SpareDemands(supplies)
	unmet = append(unmet, planner.SubtractSupply(spares)...)
	if p.cycle.blocked.Observe(len(unmet) > 0, now, p.cycle.scaleOutWindow) {
		p.scaleOut(now, planner.ScaleOuts(unmet), Decision{
			Action: ActionScaleOut, Reason: "work is blocked", Blocked: countTasks(demands), Booked: booked, Fleet: len(supplies),
		})
	}
	p.cycle.unmet = unmet
	p.scaleIn(now, fleet, planner, spares, booked)
	p.target.update(now, supplies)
}

// countTasks sums the tasks of demands.
func countTasks(demands []autoscaler.Demand) int {
	count := 0
	for i := range demands {
		count += demands[i].Count
	}
	return count
}

// newPlanner makes a planner with the machines there are and what may be asked for.
func (p *Provisioner) newPlanner(fleet *autoscaler.Fleet, supplies []*autoscaler.Supply) *autoscaler.Planner {
	return &autoscaler.Planner{
		Catalogue:         autoscaler.CatalogueOf(p.view()),
		Supplies:          supplies,
		Unavailable:       p.poolUnavailable,
		MachinesByPool:    autoscaler.CountByPool(supplies),
		SoleTypes:         fleet.SoleMachineTypes(),
		MachinesAllowed:   p.Options.FleetMax - len(supplies),
		CallsAllowed:      max(0, p.Options.ScaleOutCalls(p.Cluster.Cloud)-len(p.scaleOuts.calls)),
		ScaleOutPatience:  p.Options.ScaleOutPatience,
		StartSlackSeconds: fleet.StartSlackSeconds,
	}
}

// poolUnavailable reports whether a pool is not to be asked for machines: it had none a
// moment ago, or is in a zone from which nothing is heard.
func (p *Provisioner) poolUnavailable(pool autoscaler.Pool) bool {
	return p.partitionedZones[pool.Zone] || p.scaleOuts.refused(pool, p.now())
}

// scaleOut asks for the machines planned and records each decision.
func (p *Provisioner) scaleOut(now time.Duration, plan []autoscaler.ScaleOut, decision Decision) {
	for _, scaleOut := range plan {
		call := p.scaleOuts.add(scaleOut)
		decision.Count = scaleOut.Count
		decision.Pool = fmt.Sprintf("%s/%s/spot=%t", call.Type, call.Zone, call.Spot)
		p.history.add(decision)
	}
	p.scaleOuts.send(now)
}

// scaleIn claims machines for services of other job shards, ends drains that are not wanted
// any more, and begins others.
func (p *Provisioner) scaleIn(now time.Duration, fleet *autoscaler.Fleet, planner *autoscaler.Planner, spares []autoscaler.Demand, booked float64) {
	supplies := fleet.Supplies() // as they are, without what the planner has given to demands
	p.claims.update(supplies, p.cycle.unmet, p.poolUnavailable)
	plan := p.cycle.scaleIn.Decide(&autoscaler.ScaleInInput{
		Now:          now,
		View:         p.view(),
		Supplies:     supplies,
		Spares:       spares,
		Planner:      planner,
		Blocked:      p.cycle.unmet.Shards(),
		Claimed:      p.claims.claimed,
		Changing:     p.writer.pending,
		TakeShardFor: p.takeShardFor,
	})
	for _, m := range plan.Reactivate {
		p.writer.setPhase(m, storage.PhaseActive, "needed after all")
	}
	decision := Decision{Action: ActionDrain, Booked: booked, Fleet: len(supplies), Count: 1}
	for _, m := range plan.Idle {
		p.writer.setPhase(m, storage.PhaseDraining, "idle")
		decision.Reason = "booked share is low"
		p.history.add(decision)
	}
	if m := plan.Consolidate; m != nil {
		const reason = "services fit elsewhere"
		p.writer.setPhase(m, storage.PhaseDraining, reason)
		decision.Reason = reason
		p.history.add(decision)
	}
}
