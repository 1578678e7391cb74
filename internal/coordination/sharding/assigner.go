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

// startupGrace is how long a new leader waits for heartbeats of all controllers before it
// grants the shards of a new cluster to the controllers that it has heard from.
const startupGrace = 2 * time.Second

// Leadership is the leadership under which an Assigner acts.
type Leadership interface {
	// Term returns the term of the leadership.
	Term() uint64
	// Since returns when the leadership began.
	Since() time.Duration
	// Precondition returns the precondition that this controller is still the leader.
	Precondition() protocol.Precondition
	// NextFencingToken issues a fencing token above all earlier ones.
	NextFencingToken() uint64
}

// AssignerConfig holds the dependencies and settings of an Assigner.
type AssignerConfig struct {
	Generation  *loop.Generation
	Replica     *replica.Replica
	Committer   *kv.Committer
	Leadership  Leadership
	Members     *membership.Registry
	Controllers []string // all controllers, by name
	Agents      config.Agents
	// JobShards is the number of shards that own jobs; 0 derives it from the number of
	// controllers.
	JobShards int
	// ShardLease is how long a holder may act without contact to the leader.
	ShardLease time.Duration
	Log        *slog.Logger
}

// Assigner grants every shard to a controller. It runs on the leader.
type Assigner struct {
	AssignerConfig
	grantCalls    []loop.Call // by shard
	jobShardsCall loop.Call
	lastMoveAt    time.Duration            // when a job shard was last moved away from a live holder
	unreachableAt map[string]time.Duration // by controller: when it last lost a shard because agents could not reach it
}

// NewAssigner creates an assigner.
func NewAssigner(c AssignerConfig) *Assigner {
	return &Assigner{
		AssignerConfig: c,
		grantCalls:     make([]loop.Call, len(c.Replica.View.Grants)),
		unreachableAt:  map[string]time.Duration{},
	}
}

// Assign grants every shard that has no live holder or that must move to another controller.
func (a *Assigner) Assign() {
	jobShards := a.jobShardsPerController()
	for shard := range a.grantCalls {
		if !a.grantCalls[shard].Ready(a.Generation.Now()) {
			continue
		}
		controller := a.nextHolder(shard, jobShards)
		if controller == "" {
			continue
		}
		a.grant(shard, controller)
		if a.isJobShard(shard) {
			jobShards[controller]++
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

// nextHolder returns the controller to which a shard must be granted now, or "" if the
// current grant stays. jobShards counts the job shards of each controller.
func (a *Assigner) nextHolder(shard int, jobShards map[string]int) string {
	now := a.Generation.Now()
	leadingFor := now - a.Leadership.Since()
	grant := &a.Replica.View.Grants[shard]
	holder := a.Members.Peer(grant.Controller)
	switch {
	case grant.Version == 0:
		if !a.Members.AllAlive() && leadingFor <= startupGrace {
			return ""
		}
		return a.bestController(shard, jobShards)
	case holder != nil && holder.Leaving && holder.Incarnation == grant.Incarnation:
		return a.bestController(shard, jobShards)
	case holder != nil && now-holder.LastContactAt < membership.PeerTimeout && holder.Incarnation > grant.Incarnation:
		// The holder has restarted, so the incarnation that was granted the shard has ended.
		return grant.Controller
	case a.holderAlive(grant, holder):
		return a.preferredHolder(shard, holder, jobShards)
	case leadingFor > a.ShardLease && a.leaseExpired(holder):
		if controller := a.bestController(shard, jobShards); controller != grant.Controller {
			return controller
		}
	}
	return ""
}

// holderAlive reports whether the leader has heard from the granted incarnation of the holder
// within the shard lease and still extends its shard leases.
func (a *Assigner) holderAlive(grant *storage.Grant, holder *membership.Peer) bool {
	return holder != nil && holder.Incarnation == grant.Incarnation &&
		a.Generation.Now()-holder.LastContactAt < a.ShardLease && !a.Members.PartitionedFromStore(holder)
}

// leaseExpired reports whether this leader has not extended a holder's shard leases for a
// whole shard lease. A caller must also check that this leader has led for that long, since
// an earlier leader may have extended the leases.
func (a *Assigner) leaseExpired(holder *membership.Peer) bool {
	now := a.Generation.Now()
	return holder == nil || now-holder.LastContactAt > a.ShardLease || now-holder.ConfirmedAt > a.ShardLease
}

// bestController chooses the controller to which a shard is granted.
func (a *Assigner) bestController(shard int, jobShards map[string]int) string {
	return a.chooseController(shard, jobShards, func(string) bool { return true })
}

// Costs of granting a shard to a controller. With fewer than ten controllers each cost
// exceeds the largest possible sum of the lower ones, so a higher cost always decides first.
const (
	leaderCost     = 10   // the leader also provisions machines
	perShardCost   = 100  // for each job shard that the controller holds
	unreliableCost = 1000 // the controller's view is stale, or agents could not reach it recently
)

// chooseController returns the live controller with the lowest cost of holding a shard, or
// "" if there is none. Only controllers for which allowed returns true are considered.
func (a *Assigner) chooseController(shard int, jobShards map[string]int, allowed func(controller string) bool) string {
	best, bestCost := "", 0
	for position, controller := range a.Controllers {
		peer := a.Members.Peer(controller)
		if peer == nil || !peer.Alive(a.Generation.Now()) || a.Members.PartitionedFromStore(peer) || !allowed(controller) {
			continue
		}
		cost := jobShards[controller]*perShardCost + (position+len(a.Controllers)-shard)%len(a.Controllers)
		if controller == a.Replica.Controller {
			cost += leaderCost
		}
		if !peer.Fresh || a.recentlyUnreachable(controller) {
			cost += unreliableCost
		}
		if best == "" || cost < bestCost {
			best, bestCost = controller, cost
		}
	}
	return best
}

// grant writes the grant of a shard to a controller.
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
		Preconditions: []protocol.Precondition{a.Leadership.Precondition(), a.Replica.View.GrantPrecondition(shard)},
		Operations:    []protocol.Operation{{Put: storage.GrantKey(shard), Value: storage.Encode(record)}},
	}, func(_ uint64, err error) {
		call.FinishAndDelayUntil(a.Generation.Now() + kv.RetryDelay)
		if err != nil {
			a.Log.Debug("grant write failed", "shard", shard, "err", err)
		}
	})
}

// DecideJobShards records the number of job shards, once in the life of a cluster. Bin
// packing cannot use machines of several shards together, and accounting is simplest on one
// controller, so three controllers get one job shard. More controllers get two: the batch
// shard and one shard for services, whose many images must be visible to one placement.
func (a *Assigner) DecideJobShards() {
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
		Preconditions: []protocol.Precondition{a.Leadership.Precondition(), {Key: storage.KeyJobShards, Version: view.JobShardsVersion}},
		Operations:    []protocol.Operation{{Put: storage.KeyJobShards, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		a.jobShardsCall.FinishAndDelayUntil(a.Generation.Now() + kv.RetryDelay)
	})
}
