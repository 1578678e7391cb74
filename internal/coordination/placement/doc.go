// Package placement decides which pending task runs on which machine. It orders jobs, picks
// the machine for each task and the zone for a one-zone job, and selects the attempts to
// preempt. Decisions depend only on their inputs: the package has no clock, network access
// or log of its own. The caller carries the decisions out through Actions.
package placement
