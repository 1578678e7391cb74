package scenario

// rule names a rule of the protocol that the checker watches.
type rule string

// The rules, by what is seen when one is broken.
const (
	ruleRanTwice     rule = "ran_twice"     // a task starts while it is on another machine
	ruleTwoAttempts  rule = "two_attempts"  // a machine takes a task of which another has an attempt that may run
	ruleRanCancelled rule = "ran_cancelled" // a cancelled job is on a machine after the time for cancelling
	ruleWrongPlace   rule = "wrong_place"   // a task starts where its job does not allow
	ruleQuota        rule = "quota"         // a team is over its maximum
	ruleTooEarly     rule = "too_early"     // a task starts before its job's dependencies are done
	ruleInvented     rule = "invented"      // a job that nobody submitted is known, or depended on
	ruleWentBack     rule = "went_back"     // an outcome changes, or has no cause
	ruleNotDone      rule = "not_done"      // a job is called done that is not
	ruleOrphaned     rule = "orphaned"      // a job waits on for a dependency that was cancelled
	ruleForgotten    rule = "forgotten"     // an accepted job is denied, or not answered for
	ruleAcceptedBad  rule = "accepted_bad"  // an invalid submission is accepted
	ruleRefusedNeeds rule = "refused_needs" // a job is refused for dependencies that were accepted
	ruleLeftWaiting  rule = "left_waiting"  // a job waits beside room for it
	ruleNothingRan   rule = "nothing_ran"   // no task was started in the whole scenario
)
