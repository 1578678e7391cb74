// Package autoscaler decides how many machines the cluster needs, and from which pools. It
// compares the demand (pending tasks) with the supply (the resources that machines offer),
// plans scale-out for the unmet demand, and selects machines to drain that are idle or whose
// services fit on other machines.
//
// The package has no side effects. Decisions depend only on the arguments, not on a clock, a
// network, a log or a store; package provisioning carries the decisions out. The only state
// retained between two decisions is in ScaleIn: how long machines have been idle,
// consolidatable or draining.
package autoscaler
