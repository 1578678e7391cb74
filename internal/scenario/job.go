package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// userJob is a job with what its user knows of it.
type userJob struct {
	spec protocol.JobSpec
	jobBehaviour
	jobKnowledge
	jobProgress
}

// jobBehaviour is how a job really behaves, which controllers are not told.
type jobBehaviour struct {
	runSeconds      float64   // what a task really takes
	taskRunSeconds  []float64 // of the first tasks, where they differ
	failsEverywhere bool
	resubmissions   int // times that its user will submit it again
}

// jobKnowledge is what the user of a job has asked for and been told.
type jobKnowledge struct {
	submittedAt time.Duration
	status      int // last answer to the submission
	accepted    bool
	acceptedAt  time.Duration

	cancelRequested bool
	cancelledAt     time.Duration // when that was first confirmed; 0: not yet
	outcome         string        // protocol.StageDone or StageCancelled once it was told so
	outcomeAt       time.Duration

	unansweredSince time.Duration // since when no poll was answered; 0: the last one was
	answeredAt      time.Duration // last answered poll
	answersLost     bool          // on purpose
}

// jobProgress is what really becomes of a job; times are 0 until they are known.
type jobProgress struct {
	startedAt    time.Duration // first task
	completedAt  time.Duration // last task
	waitingSince time.Duration // though there is room
}

// runSecondsOf is how long a task of the job really runs.
func (j *userJob) runSecondsOf(name string) float64 {
	if _, task, err := protocol.ParseTaskName(name); err == nil && task < len(j.taskRunSeconds) {
		return j.taskRunSeconds[task]
	}
	return j.runSeconds
}
