package coordination

import (
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
)

// leader is what this controller runs while it is the leader. Every leader builds it anew
// from heartbeats and the cloud's list.
type leader struct {
	leadership  *election.Leadership
	members     *membership.Registry
	assigner    *sharding.Assigner
	splitter    *quota.Splitter
	provisioner *provisioning.Provisioner
}

// beginLeadership takes up the leadership that this controller has gained.
func (c *Controller) beginLeadership(won *election.Leadership) {
	agents := c.Settings.Cluster.Agents
	leading := &leader{leadership: won}
	leading.members = membership.NewRegistry(membership.RegistryConfig{
		Generation:  c.generation,
		Replica:     c.replica,
		Leadership:  won,
		Controllers: c.controllers,
		Agents:      agents,
		ShardLease:  c.shardLease,
		OnUnrecordedAgent: func(h *protocol.AgentHeartbeat) {
			leading.provisioner.OnUnrecordedHeartbeat(h)
		},
	})
	leading.assigner = sharding.NewAssigner(sharding.AssignerConfig{
		Generation:  c.generation,
		Replica:     c.replica,
		Committer:   c.committer,
		Leadership:  won,
		Members:     leading.members,
		Controllers: c.controllers,
		Agents:      agents,
		JobShards:   c.Options.JobShards,
		ShardLease:  c.shardLease,
		Log:         c.Log,
	})
	leading.splitter = quota.NewSplitter(quota.SplitterConfig{
		Generation: c.generation,
		Replica:    c.replica,
		Committer:  c.committer,
		Leadership: won,
		Members:    leading.members,
	})
	leading.provisioner = provisioning.New(provisioning.Config{
		Generation: c.generation,
		Replica:    c.replica,
		Committer:  c.committer,
		Leadership: won,
		Members:    leading.members,
		Cloud:      c.Cloud,
		Cluster:    &c.Settings.Cluster,
		Options:    c.Options,
		Log:        c.Log,
	})
	c.leader = leading
	c.reporter.SendHeartbeat()
}

// tick does what a leader does at intervals.
func (l *leader) tick() {
	if !l.leadership.Tick() {
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
func (c *Controller) registry() *membership.Registry {
	if c.leader == nil {
		return nil
	}
	return c.leader.members
}
