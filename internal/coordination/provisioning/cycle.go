package provisioning

import (
	"fmt"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// cycle holds the schedule of the autoscaling cycles, and the state that one cycle leaves for
// the next.
type cycle struct {
	interval       time.Duration
	scaleOutWindow time.Duration // how long tasks are blocked before machines are created
	nextAt         time.Duration
	blocked        loop.Window // tasks are blocked for lack of machines
	scaleIn        *autoscaler.ScaleIn
	unmet          autoscaler.Unmet // demand that the last cycle could not place
}

func newCycle(o *config.Options) *cycle {
	return &cycle{
		interval:       config.Seconds(o.CycleSeconds),
		scaleOutWindow: config.Seconds(o.ScaleOutWindowSeconds),
		scaleIn: autoscaler.NewScaleIn(autoscaler.ScaleInConfig{
			Window:      config.Seconds(o.ScaleInWindowSeconds),
			IdleBelow:   o.ScaleInBelow,
			MinMachines: o.FleetMin,
		}),
	}
}

// runOnNextTick makes the next tick run a cycle.
func (c *cycle) runOnNextTick() { c.nextAt = 0 }

// runCycleWhenDue runs a cycle if the interval since the last one has passed.
func (p *Provisioner) runCycleWhenDue(now time.Duration) {
	if now >= p.cycle.nextAt {
		p.cycle.nextAt = now + p.cycle.interval
		p.runCycle(now)
	}
}

// runCycle scales out for demand without capacity, scales in machines that are not needed, and
// records the scaling target.
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

// countTasks returns the total number of tasks in demands.
func countTasks(demands []autoscaler.Demand) int {
	count := 0
	for i := range demands {
		count += demands[i].Count
	}
	return count
}

// newPlanner returns a planner with the given supplies and the limits on new requests to the
// cloud.
func (p *Provisioner) newPlanner(fleet *autoscaler.Fleet, supplies []*autoscaler.Supply) *autoscaler.Planner {
	return &autoscaler.Planner{
		Catalogue:          autoscaler.CatalogueOf(p.view()),
		Supplies:           supplies,
		Unavailable:        p.poolUnavailable,
		MachinesByPool:     autoscaler.CountByPool(supplies),
		SoleTypes:          fleet.SoleMachineTypes(),
		MachinesAllowed:    p.Options.FleetMax - len(supplies),
		CallsAllowed:       max(0, p.Options.ScaleOutCalls(p.Cluster.Cloud)-len(p.scaleOuts.calls)),
		ScaleOutWaitFactor: p.Options.ScaleOutWaitFactor,
		StartSlackSeconds:  fleet.StartSlackSeconds,
	}
}

// poolUnavailable reports whether no machines should be requested from a pool: the pool recently
// had none, or the pool's zone is partitioned.
func (p *Provisioner) poolUnavailable(pool autoscaler.Pool) bool {
	return p.partitionedZones[pool.Zone] || p.scaleOuts.refused(pool, p.now())
}

// scaleOut requests the planned machines and adds each decision to the history.
func (p *Provisioner) scaleOut(now time.Duration, plan []autoscaler.ScaleOut, decision Decision) {
	for _, scaleOut := range plan {
		call := p.scaleOuts.add(scaleOut)
		decision.Count = scaleOut.Count
		decision.Pool = fmt.Sprintf("%s/%s/spot=%t", call.Type, call.Zone, call.Spot)
		p.history.add(decision)
	}
	p.scaleOuts.send(now)
}

// scaleIn claims machines for services of other job shards, ends drains of machines that are
// needed again, and starts new drains.
func (p *Provisioner) scaleIn(now time.Duration, fleet *autoscaler.Fleet, planner *autoscaler.Planner, spares []autoscaler.Demand, booked float64) {
	supplies := fleet.Supplies() // computed again: the planner has assigned demand to the earlier ones
	p.claims.update(supplies, p.cycle.unmet, p.poolUnavailable)
	plan := p.cycle.scaleIn.Decide(&autoscaler.ScaleInInput{
		Now:            now,
		View:           p.view(),
		Supplies:       supplies,
		Spares:         spares,
		Planner:        planner,
		Blocked:        p.cycle.unmet.Shards(),
		Claimed:        p.claims.claimed,
		Changing:       p.writer.pending,
		AssignShardFor: p.assignShardFor,
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
