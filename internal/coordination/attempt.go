package coordination

import (
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
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
	job        *bookkeeping.Job
	prog       *progress
	task       int
	try        uint64
	on         *holding
	page       *intentPage // of intents that names it; nil until one is chosen
	width      int         // of its entry there, the machine's name aside
	state      taskState
	cause      string
	token      uint64 // highest token under which a start may have been sent
	session    uint64 // the worker's session at that time; 0: not known
	sentAt     time.Duration
	seen       uint64 // number of the last report that listed it
	inherited  bool   // taken over from an earlier holder, not seen yet
	stop       bool   // wanted gone
	grace      float64
	stopSentAt time.Duration // when the last stop was sent
	planned    time.Duration
	ran        time.Duration // when first seen running
}

func (a *attempt) ref() bookkeeping.TaskRef {
	return bookkeeping.TaskRef{Job: a.job.Index, Task: a.task}
}

// live reports whether the task may still be on the machine.
func (a *attempt) live() bool { return a.state != taskEnded }

// durable reports whether the records name the attempt.
func (a *attempt) durable() bool { return a.on.m.Intents[a.ref()].Try == a.try }

// holding is a holder's view of one machine under its current grant.
type holding struct {
	m     *bookkeeping.Machine
	addr  string // from the record or, earlier, from the worker itself
	shard int
	base  uint64 // token of the grant
	token uint64 // token in use: base plus own steps
	sent  uint64 // highest token under which a start was sent
	// fenced: a report has shown the base token, so no command of an earlier
	// holder can take effect any more.
	fenced     bool
	session    uint64
	seq        uint64
	since      time.Duration // when this holding began
	heard      time.Duration // last report
	firstHeard time.Duration // first report under this grant
	answered   time.Duration // last time a report was answered 200
	notice     time.Duration // when the cloud takes the machine; 0: not announced
	unexpected []protocol.TaskStatus
	reapFrom   time.Duration // since when there are completed ones among them; 0: there are none
	attempts   map[bookkeeping.TaskRef]*attempt
	cpus       float64 // taken by live attempts
	gpus       float64
	memory     float64
	services   float64 // CPUs of those that are replicas

	busy             bool // there may be commands to send
	inFlight         bool // a direct command is on its way
	again            bool // and another is wanted
	noCommandsBefore time.Duration
	pushed           time.Duration
	namesWrittenAt   time.Duration // when pages that name it were last looked for

	// A machine whose reports arrive may be one that no answer reaches. Where
	// its reports give reason to think so, it is answered under a higher token,
	// which it must show.
	probe        uint64 // token that its reports must show
	probeAt      time.Duration
	suspect      bool // its last report did not show it
	unresponsive bool // nor did others long after

	images map[int]time.Duration // when an image was last wanted here
	errors int                   // in a row
	pace   float64               // run times here by those of the same jobs elsewhere
	paced  int                   // completed tasks that pace rests on
	avoid  time.Duration         // no new tasks before
}

// changing reports whether an attempt is to begin or to end on a machine.
func (x *holding) changing() bool {
	for _, a := range x.attempts {
		if a.live() && (a.stop || a.state == taskPlanned) {
			return true
		}
	}
	return false
}
