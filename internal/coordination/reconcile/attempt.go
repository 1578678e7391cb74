package reconcile

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// taskState is how far an attempt has come.
type taskState int

const (
	taskPlanned  taskState = iota // decided here; the start may have been sent
	taskFetching                  // seen waiting for its image or its gang
	taskRunning
	taskSaving
	taskEnded // seen ended, outcome being made durable
)

// attempt is one try at a task on one machine.
type attempt struct {
	job              *storage.Job
	progress         *jobProgress
	task             int
	number           uint64
	agent            *agent
	page             *intentPage // of intents that names it; nil until one is chosen
	entrySize        int         // of its entry there, the machine's name aside
	state            taskState
	cause            string
	startToken       uint64 // highest token under which a start may have been sent
	startEpoch       uint64 // the worker's session at that time; 0: not known
	startSentAt      time.Duration
	listedInSequence uint64 // number of the last report that listed it
	inherited        bool   // taken over from an earlier holder, not seen yet
	stopRequested    bool   // wanted gone
	graceSeconds     float64
	stopSentAt       time.Duration // when the last stop was sent
	plannedAt        time.Duration
	runningSince     time.Duration // when first seen running
}

func (a *attempt) ref() storage.TaskRef {
	return storage.TaskRef{Job: a.job.Index, Task: a.task}
}

// live reports whether the task may still be on the machine.
func (a *attempt) live() bool { return a.state != taskEnded }

// durable reports whether the records name the attempt.
func (a *attempt) durable() bool { return a.agent.machine.Intents[a.ref()].Attempt == a.number }

// holding is a holder's view of one machine under its current grant.
type agent struct {
	machine           *storage.Machine
	address           string // from the record or, earlier, from the worker itself
	shard             int
	grantToken        uint64 // token of the grant
	currentToken      uint64 // token in use: base plus own steps
	highestStartToken uint64 // highest token under which a start was sent
	// fenced: a report has shown the base token, so no command of an earlier
	// holder can take effect any more.
	fenceConfirmed   bool
	epoch            uint64
	sequence         uint64
	heldSince        time.Duration // when this holding began
	lastHeartbeatAt  time.Duration // last report
	firstHeartbeatAt time.Duration // first report under this grant
	lastAnsweredAt   time.Duration // last time a report was answered 200
	terminationAt    time.Duration // when the cloud takes the machine; 0: not announced
	unexpected       []protocol.TaskStatus
	reapableSince    time.Duration // since when there are completed ones among them; 0: there are none
	attempts         map[storage.TaskRef]*attempt
	cpus             float64 // taken by live attempts
	gpus             float64
	memory           float64
	serviceCPUs      float64 // CPUs of those that are replicas

	needsAttention   bool // there may be commands to send
	commandsInFlight bool // a direct command is on its way
	sendAgain        bool // and another is wanted
	noCommandsBefore time.Duration
	commandsSentAt   time.Duration
	namesCheckedAt   time.Duration // when pages that name it were last looked for

	// A machine whose reports arrive may be one that no answer reaches. Where
	// its reports give reason to think so, it is answered under a higher token,
	// which it must show.
	probeToken   uint64 // token that its reports must show
	probedAt     time.Duration
	suspect      bool // its last report did not show it
	unresponsive bool // nor did others long after

	imageWantedAt     map[int]time.Duration // when an image was last wanted here
	consecutiveErrors int                   // in a row
	relativeRunTime   float64               // run times here by those of the same jobs elsewhere
	runTimeSamples    int                   // completed tasks that pace rests on
	quarantinedUntil  time.Duration         // no new tasks before
}

// changing reports whether an attempt is to begin or to end on a machine.
func (x *agent) hasPendingChanges() bool {
	for _, a := range x.attempts {
		if a.live() && (a.stopRequested || a.state == taskPlanned) {
			return true
		}
	}
	return false
}
