package coordination

import (
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
)

// leader holds the components that run only on the leader. Every new leader rebuilds their
// state from heartbeats and the cloud's list of machines.
type leader struct {
	leadership  *election.Leadership
	members     *membership.Registry
	assigner    *sharding.Assigner
	splitter    *quota.Splitter
	provisioner *provisioning.Provisioner
}

// beginLeadership creates the leader's components. It is called when this controller has been
// elected.
func (c *Controller) beginLeadership(leadership *election.Leadership) {
	agents := c.Settings.Cluster.Agents
	newLeader := &leader{leadership: leadership}
	newLeader.members = membership.NewRegistry(membership.RegistryConfig{
		Generation:  c.generation,
		Replica:     c.replica,
		Leadership:  leadership,
		Controllers: c.controllers,
		Agents:      agents,
		ShardLease:  c.shardLease,
		Log:         c.Log,
		OnUnrecordedAgent: func(heartbeat *protocol.AgentHeartbeat) {
			newLeader.provisioner.OnUnrecordedHeartbeat(heartbeat)
		},
	})
	newLeader.assigner = sharding.NewAssigner(sharding.AssignerConfig{
		Generation:  c.generation,
		Replica:     c.replica,
		Committer:   c.committer,
		Leadership:  leadership,
		Members:     newLeader.members,
		Controllers: c.controllers,
		Agents:      agents,
		JobShards:   c.Options.JobShards,
		ShardLease:  c.shardLease,
		Log:         c.Log,
	})
	newLeader.splitter = quota.NewSplitter(quota.SplitterConfig{
		Generation: c.generation,
		Replica:    c.replica,
		Committer:  c.committer,
		Leadership: leadership,
		Members:    newLeader.members,
	})
	newLeader.provisioner = provisioning.New(provisioning.Config{
		Generation: c.generation,
		Replica:    c.replica,
		Committer:  c.committer,
		Leadership: leadership,
		Members:    newLeader.members,
		Cloud:      c.Cloud,
		Cluster:    &c.Settings.Cluster,
		Options:    c.Options,
		Log:        c.Log,
	})
	c.leader = newLeader
	c.reporter.SendHeartbeat()
}

// tick does the leader's periodic work.
func (l *leader) tick() {
	if !l.leadership.Tick() {
		return
	}
	l.members.ApplyLiveness()
	l.assigner.DecideJobShards()
	l.splitter.Update()
	l.assigner.Assign()
	l.provisioner.Tick()
}

// registry returns the leader's registry of the controllers, or nil if this controller is not
// the leader.
func (c *Controller) registry() *membership.Registry {
	if c.leader == nil {
		return nil
	}
	return c.leader.members
}
