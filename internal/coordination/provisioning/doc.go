// Package provisioning runs the life cycle of machines, on the leader: it creates them at
// the cloud, records them in machine groups, drains them, decommissions those that are
// empty or lost, and moves drained ones to the job shard that waits for their like. What
// package autoscaler decides is carried out here; nothing else talks to the cloud.
//
// Every leader begins with the records, the holders' heartbeats and the cloud's list, and
// keeps no other state that must outlive it.
package provisioning
