// Package provisioning manages the life cycle of machines on the leader: it creates machines
// at the cloud, records them in machine groups, drains them, decommissions empty and lost
// ones, and moves drained machines to job shards with blocked work that fits them. It carries
// out the decisions of package autoscaler. No other package calls the cloud.
//
// Each leader starts from the records, the heartbeats of peers and the cloud's list of
// machines, and has no other state that must survive it.
package provisioning
