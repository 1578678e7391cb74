package coordination

import (
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
)

// leadership is what this controller runs while it is the leader. Every leader builds it
// anew from heartbeats and the cloud's list.
type leadership struct {
	*election.Leadership
	controller  *Controller
	members     *membership.Registry
	assigner    *sharding.Assigner
	splitter    *quota.Splitter
	provisioner *provisioning.Provisioner
}

// beginLeadership takes up the leadership that this controller has gained.
func (n *Controller) beginLeadership(won *election.Leadership) {
	agents := n.Settings.Cluster.Agents
	l := &leadership{Leadership: won, controller: n}
	l.members = membership.NewRegistry(membership.RegistryConfig{
		Generation:  n.generation,
		Replica:     n.replica,
		Leadership:  won,
		Controllers: n.controllers,
		Agents:      agents,
		ShardLease:  n.shardLease,
		OnUnrecordedAgent: func(h *protocol.AgentHeartbeat) {
			l.provisioner.OnUnrecordedHeartbeat(h)
		},
	})
	l.assigner = sharding.NewAssigner(sharding.AssignerConfig{
		Generation:  n.generation,
		Replica:     n.replica,
		Committer:   n.committer,
		Leadership:  won,
		Members:     l.members,
		Controllers: n.controllers,
		Agents:      agents,
		JobShards:   n.Options.JobShards,
		ShardLease:  n.shardLease,
		Log:         n.Log,
	})
	l.splitter = quota.NewSplitter(quota.SplitterConfig{
		Generation: n.generation,
		Replica:    n.replica,
		Committer:  n.committer,
		Leadership: won,
		Members:    l.members,
	})
	l.provisioner = provisioning.New(provisioning.Config{
		Generation: n.generation,
		Replica:    n.replica,
		Committer:  n.committer,
		Leadership: won,
		Members:    l.members,
		Cloud:      n.Cloud,
		Cluster:    &n.Settings.Cluster,
		Options:    n.Options,
		Log:        n.Log,
	})
	n.leadership = l
	n.reporter.SendHeartbeat()
}

// tick does what a leader does at intervals.
func (l *leadership) tick() {
	if !l.Tick() {
		return
	}
	l.members.ApplyLiveness()
	l.assigner.SettleJobShards()
	l.splitter.Update()
	l.assigner.Assign()
	l.provisioner.Tick()
}

// registry is the leader's registry of the controllers, or nil where this controller does
// not lead.
func (n *Controller) registry() *membership.Registry {
	if n.leadership == nil {
		return nil
	}
	return n.leadership.members
}
