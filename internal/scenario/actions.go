package scenario

// action reads the arguments of a line of the script and returns what the line
// does. What is named only at that time (a machine, "leader") is looked up when
// it happens.
type action func(sim *simulation, line *statement) func()

// actions are the verbs of a script.
var actions = map[string]action{
	// Users
	"submit":                   actSubmit,
	"stream":                   actStream,
	"pipeline":                 actPipeline,
	"cancel":                   actCancel,
	"cancel-running":           actCancelRunning,
	"cancel-on-completion":     actCancelOnCompletion,
	"read-your-writes":         actReadYourWrites,
	"invalid-requests":         actInvalidRequests,
	"healthy-controllers-only": actHealthyControllersOnly,
	"check-liveness":           actCheckLiveness,

	// Controllers
	"crash":          actCrash,
	"start":          actStart,
	"stop":           actStop,
	"upgrade":        actUpgrade,
	"pause":          actPause,
	"partition":      actPartition,
	"heal":           actPartition,
	"zone-partition": actZonePartition,

	// Machines
	"machine-pause":      actMachinePause,
	"machine-restart":    actMachineRestart,
	"machine-crash":      actMachineCrash,
	"machine-partition":  actMachinePartition,
	"machine-faulty":     actMachineFaulty,
	"machine-slow":       actMachineSlow,
	"inbound-partition":  actOneWayPartition,
	"outbound-partition": actOneWayPartition,
	"reclaim":            actReclaim,

	// Messages between controllers and agents
	"command-latency":      actCommandLatency,
	"delayed-commands":     actDelayedCommands,
	"duplicate-commands":   actDuplicateCommands,
	"duplicate-heartbeats": actDuplicateHeartbeats,
	"replay-heartbeats":    actReplayHeartbeats,

	// The store and the cloud
	"store-outage":       actStoreOutage,
	"store-latency":      actStoreLatency,
	"store-lost-answers": actStoreLostAnswers,
	"store-lower-limits": actStoreLowerLimits,
	"cloud-outage":       actCloudOutage,
	"cloud-lost-answers": actCloudLostAnswers,
	"boot-failures":      actBootFailures,

	// Violations on purpose
	"inject-start":        actInjectStart,
	"inject-answer":       actInjectAnswer,
	"inject-refusal":      actInjectRefusal,
	"inject-lost-answers": actInjectLostAnswers,
}
