// Package placement decides which waiting task goes where: the order of jobs, the machine
// for a task, the zone in which a job's tasks gather, and what is preempted for it. It is
// pure: decisions follow from what they are given, without a clock, a network or a log of
// their own. The caller carries them out.
package placement
