package coordination

import (
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/jobs"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/reconcile"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// beginGeneration starts a new generation with an empty view. It is called at the start, when
// the store no longer has the changes that follow the view, and when the attempt numbers
// available under the grants are used up. Shards that the previous generation held are granted
// again under higher fencing tokens, so agents reject delayed commands of that generation.
func (c *Controller) beginGeneration() {
	previous := &replica.Replica{}
	if c.replica != nil {
		previous = c.replica
		c.generation.End()
	}
	c.generation = loop.NewGeneration(c.Clock, c.Rand)
	c.committer.BeginGeneration(c.generation)
	c.beginReplica(previous)
	c.leader = nil
	c.leases = sharding.NewLeases(sharding.LeasesConfig{
		Generation:   c.generation,
		Replica:      c.replica,
		ShardLease:   c.shardLease,
		MaxStaleness: c.maxStaleness,
	})
	c.beginReconciler()
	c.beginMembership()
	c.beginElection()
	c.beginJobs()
	for _, done := range previous.RemoveWaiters() {
		done(protocol.ErrNotExecuted)
	}
	c.replica.Start()
}

// beginReplica creates the replica of the generation. Its incarnation is above the previous one,
// and its first sync starts no sooner than the minimum interval after the last sync of the previous
// replica.
func (c *Controller) beginReplica(previous *replica.Replica) {
	limits := c.Settings.Cluster.KVStore.Limits()
	c.replica = replica.New(replica.Config{
		Generation:       c.generation,
		Store:            c.Store,
		View:             storage.NewView(c.teams(), len(c.controllers)),
		Controller:       c.Settings.Controller,
		Incarnation:      c.nextIncarnation(previous.Incarnation),
		MinWatchInterval: minWatchInterval(len(c.controllers), limits),
		SyncNotBefore:    previous.NextSyncAt(),
		Log:              c.Log,
		OnChange:         c.recordsChanged,
		OnCompacted:      c.beginGeneration,
	})
}

// teams returns the teams in the settings.
func (c *Controller) teams() []storage.Team {
	teams := make([]storage.Team, 0, len(c.Settings.Cluster.Teams))
	for _, team := range c.Settings.Cluster.Teams {
		teams = append(teams, storage.Team{
			Name:           team.Name,
			GuaranteedCPUs: team.GuaranteedCPUs,
			MaxCPUs:        team.MaxCPUs,
			GuaranteedGPUs: team.GuaranteedGPUs,
			MaxGPUs:        team.MaxGPUs,
		})
	}
	return teams
}

// minWatchInterval returns the minimum time between two watch requests of a controller. At this
// interval the watch requests of all controllers use at most a quarter of the store's request
// rate.
func minWatchInterval(controllers int, limits config.StoreLimits) time.Duration {
	const (
		shareDivisor = 4
		lowerBound   = 20 * time.Millisecond
	)
	return max(lowerBound, time.Duration(shareDivisor*float64(controllers)/limits.RequestRate*float64(time.Second)))
}

// nextIncarnation returns an incarnation above the previous one. Its high bits are the wall-clock
// time in milliseconds and its low bits are random.
func (c *Controller) nextIncarnation(previous uint64) uint64 {
	const randomBits = 20
	return max(previous+1, uint64(c.Clock.Wall().UnixMilli())<<randomBits|c.Rand.Uint64N(1<<randomBits))
}

// beginReconciler creates the reconciler, which runs the tasks of the held shards.
func (c *Controller) beginReconciler() {
	c.reconciler = reconcile.New(reconcile.Config{
		Generation:         c.generation,
		Replica:            c.replica,
		View:               c.replica.View,
		Committer:          c.committer,
		Leases:             c.leases,
		Agents:             c.Agents,
		Outcomes:           c.jobs,
		Log:                c.Log,
		AgentSettings:      c.Settings.Cluster.Agents,
		Objectives:         c.Settings.Cluster.Objectives,
		MaxStaleness:       c.maxStaleness,
		MaxAttemptNumbers:  c.maxAttemptNumbers,
		OnCommandsDeferred: func(commands int) { c.stats.commandsDeferred.Add(uint64(commands)) },
		OnPassEnd: func() {
			c.stats.passes.Add(1)
			c.jobs.WriteCancelledDependents()
		},
	})
}

// beginMembership creates the reporter, which sends this controller's heartbeats to the leader.
func (c *Controller) beginMembership() {
	healthyPeers := 0
	if c.reporter != nil {
		healthyPeers = c.reporter.LastHealthyPeers()
	}
	c.reporter = membership.NewReporter(membership.ReporterConfig{
		Generation:   c.generation,
		Replica:      c.replica,
		Committer:    c.committer,
		Peers:        c.Peers,
		Leases:       c.leases,
		Holdings:     c.reconciler,
		ShardLease:   c.shardLease,
		HealthyPeers: healthyPeers,
		Log:          c.Log,
		Registry:     c.registry,
	})
}

// beginElection creates the elector, which campaigns for this controller.
func (c *Controller) beginElection() {
	c.elector = election.New(election.Config{
		Generation:      c.generation,
		Store:           c.Store,
		Committer:       c.committer,
		Replica:         c.replica,
		MaxStaleness:    c.maxStaleness,
		Log:             c.Log,
		OnElected:       c.beginLeadership,
		OnLeadershipEnd: func() { c.leader = nil },
	})
}

// beginJobs passes the generation to the job service.
func (c *Controller) beginJobs() {
	c.jobs.BeginGeneration(jobs.GenerationConfig{
		Generation:    c.generation,
		Replica:       c.replica,
		View:          c.replica.View,
		Leases:        c.leases,
		Reconciler:    c.reconciler,
		NeedsOutcomes: func() bool { return c.leader != nil || c.reconciler.HoldsJobShards() },
	})
}
