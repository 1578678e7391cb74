package scenario

// rule identifies a rule of the protocol that the checker verifies.
type rule string

// The rules, each with the observation that violates it.
const (
	ruleRanTwice           rule = "ran_twice"     // a task starts while it runs on another machine
	ruleTwoAttempts        rule = "two_attempts"  // a machine accepts an attempt while another has an unfinished one of the same task
	ruleMessageTooLong     rule = "line_limit"    // a message to or from an agent exceeds the protocol's limit
	ruleRanCancelled       rule = "ran_cancelled" // a cancelled job runs on a machine after the cancel timeout
	ruleWrongPlacement     rule = "wrong_place"   // a task starts where its job does not allow
	ruleQuota              rule = "quota"         // a team exceeds its maximum
	ruleTooEarly           rule = "too_early"     // a task starts before its job's dependencies are done
	ruleUnknownJob         rule = "invented"      // a job that nobody submitted is reported, or accepted as a dependency
	ruleInvalidOutcome     rule = "went_back"     // an outcome changes, or a cancellation has no cause
	ruleNotDone            rule = "not_done"      // a job is reported done that is not
	ruleOrphaned           rule = "orphaned"      // a job stays queued or running after a dependency was cancelled
	ruleJobForgotten       rule = "forgotten"     // an accepted job is denied, or its polls stay unanswered
	ruleInvalidAccepted    rule = "accepted_bad"  // an invalid submission is accepted
	ruleDependencyRejected rule = "refused_needs" // a job is rejected although its dependencies were accepted
	ruleStarved            rule = "left_waiting"  // a runnable job waits although a machine has capacity for it
	ruleNothingRan         rule = "nothing_ran"   // no task was started in the whole scenario
)
