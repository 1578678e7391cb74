package sharding

import (
	"log/slog"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// startupGrace is how long a first leader waits for all controllers to be heard before it
// grants shards to those that are.
const startupGrace = 2 * time.Second

// Leadership is what an Assigner needs of the leader whose it is.
type Leadership interface {
	// Term is the term of the leadership.
	Term() uint64
	// Since is when the leadership began.
	Since() time.Duration
	// Condition makes a transaction depend on the leadership.
	Condition() protocol.Condition
	// NextFencingToken issues a fencing token, higher than all before.
	NextFencingToken() uint64
}

// AssignerConfig is all that an Assigner is made of.
type AssignerConfig struct {
	Generation  *loop.Generation
	Replica     *replica.Replica
	Committer   *kv.Committer
	Leadership  Leadership
	Members     *membership.Registry
	Controllers []string // all controllers, by name
	Agents      config.Agents
	// JobShards is how many shards own jobs; 0: derived from the number of controllers.
	JobShards  int
	ShardLease time.Duration
	Log        *slog.Logger
}

// Assigner grants every shard to a controller, for the leader.
type Assigner struct {
	AssignerConfig
	grantCalls    []loop.Call // by shard
	jobShardsCall loop.Call
	lastMoveAt    time.Duration            // when a job shard last moved away from a live controller
	relievedAt    map[string]time.Duration // when a controller lost a shard whose agents could not reach it
}

// NewAssigner makes an assigner.
func NewAssigner(c AssignerConfig) *Assigner {
	return &Assigner{
		AssignerConfig: c,
		grantCalls:     make([]loop.Call, len(c.Replica.View.Grants)),
		relievedAt:     map[string]time.Duration{},
	}
}

// Assign grants every shard that has no live holder, or has a better one.
func (a *Assigner) Assign() {
	held := a.jobShardsPerController()
	for shard := range a.grantCalls {
		if !a.grantCalls[shard].Ready(a.Generation.Now()) {
			continue
		}
		to := a.nextHolder(shard, held)
		if to == "" {
			continue
		}
		a.grant(shard, to)
		if a.isJobShard(shard) {
			held[to]++
		}
	}
}

// isJobShard reports whether a shard owns jobs.
func (a *Assigner) isJobShard(shard int) bool { return shard < a.Replica.View.JobShards }

// jobShardsPerController counts the job shards granted to each controller.
func (a *Assigner) jobShardsPerController() map[string]int {
	held := map[string]int{}
	for shard := range a.Replica.View.Grants {
		if a.isJobShard(shard) {
			held[a.Replica.View.Grants[shard].Controller]++
		}
	}
	return held
}

// nextHolder is the controller to which a shard is to be granted now, or "" where its
// grant stands.
func (a *Assigner) nextHolder(shard int, held map[string]int) string {
	now := a.Generation.Now()
	leadingFor := now - a.Leadership.Since()
	grant := &a.Replica.View.Grants[shard]
	holder := a.Members.Peer(grant.Controller)
	switch {
	case grant.Version == 0:
		if !a.Members.AllAlive() && leadingFor <= startupGrace {
			return ""
		}
		return a.bestController(shard, held)
	case holder != nil && holder.Leaving && holder.Incarnation == grant.Incarnation:
		return a.bestController(shard, held)
	case holder != nil && now-holder.HeardAt < membership.PeerTimeout && holder.Incarnation > grant.Incarnation:
		// The holder has restarted and declared its former self over.
		return grant.Controller
	case a.holderAlive(grant, holder):
		return a.preferredHolder(shard, holder, held)
	case leadingFor > a.ShardLease && a.leaseExpired(holder):
		if to := a.bestController(shard, held); to != grant.Controller {
			return to
		}
	}
	return ""
}

// holderAlive reports whether every heartbeat of the holder of a grant confirms it.
func (a *Assigner) holderAlive(grant *storage.Grant, holder *membership.Peer) bool {
	return holder != nil && holder.Incarnation == grant.Incarnation &&
		a.Generation.Now()-holder.HeardAt < a.ShardLease && !a.Members.PartitionedFromStore(holder)
}

// leaseExpired reports whether this leader has not confirmed a holder for a whole shard
// lease. Nor has an earlier one, after this one has led for as long.
func (a *Assigner) leaseExpired(holder *membership.Peer) bool {
	now := a.Generation.Now()
	return holder == nil || now-holder.HeardAt > a.ShardLease || now-holder.ConfirmedAt > a.ShardLease
}

// bestController chooses a controller for a shard among all.
func (a *Assigner) bestController(shard int, held map[string]int) string {
	return a.chooseController(shard, held, func(string) bool { return true })
}

// Costs of granting a shard to a controller. They are compared digit by digit: each is
// above all that those below it can add up to with fewer than ten controllers.
const (
	leaderCost     = 10   // it provisions machines
	perShardCost   = 100  // for each job shard it holds
	unreliableCost = 1000 // its knowledge is old, or agents did not reach it
)

// chooseController chooses a controller for a shard among those that are allowed: one that
// is alive, with the fewest job shards, rather not the leader.
func (a *Assigner) chooseController(shard int, held map[string]int, allowed func(controller string) bool) string {
	best, bestCost := "", 0
	for position, controller := range a.Controllers {
		p := a.Members.Peer(controller)
		if p == nil || !p.Alive(a.Generation.Now()) || a.Members.PartitionedFromStore(p) || !allowed(controller) {
			continue
		}
		cost := held[controller]*perShardCost + (position+len(a.Controllers)-shard)%len(a.Controllers)
		if controller == a.Replica.Controller {
			cost += leaderCost
		}
		if !p.Fresh || a.recentlyRelieved(controller) {
			cost += unreliableCost
		}
		if best == "" || cost < bestCost {
			best, bestCost = controller, cost
		}
	}
	return best
}

// grant writes that a controller holds a shard.
func (a *Assigner) grant(shard int, controller string) {
	record := storage.GrantRecord{
		Controller:   controller,
		Incarnation:  a.Members.Peer(controller).Incarnation,
		FencingToken: a.Leadership.NextFencingToken(),
	}
	a.Log.Info("shard granted", "shard", shard, "holder", controller, "token", record.FencingToken, "term", a.Leadership.Term())
	call := &a.grantCalls[shard]
	call.Begin()
	a.Committer.Budget.ForceConsume(a.Generation.Now(), 1)
	a.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{a.Leadership.Condition(), a.Replica.View.GrantCondition(shard)},
		Operations: []protocol.Operation{{Put: storage.GrantKey(shard), Value: storage.Encode(record)}},
	}, func(_ uint64, err error) {
		call.FinishAndDelayUntil(a.Generation.Now() + kv.RetryDelay)
		if err != nil {
			a.Log.Debug("grant not written", "shard", shard, "err", err)
		}
	})
}

// SettleJobShards settles once into how many job shards the work is split. Machines that
// are split among shards cannot be packed together, and one controller's sums are
// simplest, so three controllers have one job shard. With more there are two: the batch
// shard and one for services, which need many images in one sight.
func (a *Assigner) SettleJobShards() {
	view := a.Replica.View
	if view.JobShards > 0 || !a.jobShardsCall.TryBegin(a.Generation.Now()) {
		return
	}
	jobShards := a.JobShards
	if jobShards == 0 {
		jobShards = min(len(a.Controllers)-2, 2)
	}
	record := storage.JobShardsRecord{JobShards: max(1, min(jobShards, len(view.Grants)))}
	a.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{a.Leadership.Condition(), {Key: storage.KeyJobShards, Version: view.JobShardsVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyJobShards, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		a.jobShardsCall.FinishAndDelayUntil(a.Generation.Now() + kv.RetryDelay)
	})
}
