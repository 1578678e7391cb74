package scenario

// actionParser parses the arguments of a script line and returns the function that performs
// the action. Names such as "leader" and machine names are resolved when that function runs.
type actionParser func(sim *simulation, line *statement) func()

// actions maps the verbs of a script to their parsers.
var actions = map[string]actionParser{
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

	// Injected rule violations
	"inject-start":        actInjectStart,
	"inject-answer":       actInjectAnswer,
	"inject-refusal":      actInjectRefusal,
	"inject-lost-answers": actInjectLostAnswers,
}
