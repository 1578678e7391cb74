package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// userJob is a job as submitted, with its actual behaviour and progress and its user's
// state.
type userJob struct {
	spec protocol.JobSpec
	jobBehaviour
	jobUserState
	jobProgress
}

// jobBehaviour is the actual behaviour of a job, which controllers do not know.
type jobBehaviour struct {
	runSeconds      float64   // actual run time of a task
	taskRunSeconds  []float64 // overrides runSeconds for the first tasks
	failsEverywhere bool
	resubmissions   int // resubmissions still to be sent by the user
}

// jobUserState is what the user of a job has requested and what the answers told the user.
type jobUserState struct {
	submittedAt      time.Duration
	submissionStatus int // HTTP status of the last answer to the submission
	accepted         bool
	acceptedAt       time.Duration

	cancelRequested bool
	cancelledAt     time.Duration // first answer with StageCancelled; 0: none yet
	outcome         string        // protocol.StageDone or StageCancelled as answered; "": none yet
	outcomeAt       time.Duration

	unansweredSince time.Duration // first unanswered poll since the last answer; 0: none
	answeredAt      time.Duration // last answered poll
	pollAnswersLost bool          // injected: no poll gets its answer
}

// jobProgress is the actual progress of a job; a time is 0 until its event occurs.
type jobProgress struct {
	startedAt    time.Duration // first start of a task
	completedAt  time.Duration // completion of the last task
	starvedSince time.Duration // since when no task runs although one could
}

// runSecondsOf returns the actual run time of a task of the job.
func (j *userJob) runSecondsOf(name string) float64 {
	if _, task, err := protocol.ParseTaskName(name); err == nil && task < len(j.taskRunSeconds) {
		return j.taskRunSeconds[task]
	}
	return j.runSeconds
}
