// Package autoscaler decides how many machines there should be, of what kind and where. It
// compares the demand, tasks that wait for a machine, with the supply, what the machines
// have to offer: scale-out is planned for what is left over, and machines that are idle or
// whose services fit elsewhere are chosen to drain.
//
// Everything here is pure. Decisions follow from what the functions are given, without a
// clock, a network, a log or a store; package provisioning carries them out. The only state
// kept between two decisions is since when machines have been idle, in ScaleIn.
package autoscaler
