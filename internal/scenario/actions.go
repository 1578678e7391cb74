package scenario

// action reads the arguments of a line of the script and returns what the line
// does. What is named only at that time (a machine, "leader") is looked up when
// it happens.
type action func(sim *simulation, line *statement) func()

// actions are the verbs of a script.
var actions = map[string]action{
	"submit":                   actSubmit,
	"pipeline":                 actPipeline,
	"cancel":                   actCancel,
	"crash":                    actCrash,
	"pause":                    actPause,
	"stop":                     actStop,
	"start":                    actStart,
	"partition":                actPartition,
	"heal":                     actPartition,
	"zone-partition":           actZonePartition,
	"machine-pause":            actMachinePause,
	"store-outage":             actStoreOutage,
	"cloud-outage":             actCloudOutage,
	"store-lost-answers":       actStoreLostAnswers,
	"cloud-lost-answers":       actCloudLostAnswers,
	"inbound-partition":        actMachineOneWayPartition,
	"outbound-partition":       actMachineOneWayPartition,
	"command-latency":          actCommandLatency,
	"store-latency":            actStoreLatency,
	"cancel-running":           actCancelRunning,
	"healthy-controllers-only": actHealthyControllersOnly,
	"cancel-on-completion":     actCancelOnCompletion,
	"invalid-requests":         actInvalidRequests,
	"machine-restart":          actMachineRestart,
	"upgrade":                  actUpgrade,
	"store-lower-limits":       actStoreLowerLimits,
	"replay-heartbeats":        actReplayHeartbeats,
	"delayed-commands":         actDelayedCommands,
	"read-your-writes":         actReadYourWrites,
	"duplicate-heartbeats":     actDuplicateHeartbeats,
	"check-liveness":           actCheckLiveness,
	"inject-lost-answers":      actInjectLostAnswers,
	"stream":                   actStream,
	"duplicate-commands":       actDuplicateCommands,
	"boot-failures":            actBootFailures,
	"machine-crash":            actMachineCrash,
	"reclaim":                  actReclaim,
	"machine-partition":        actMachinePartition,
	"machine-faulty":           actMachineFaulty,
	"machine-slow":             actMachineSlow,
	"inject-start":             actInjectStart,
	"inject-answer":            actInjectAnswer,
	"inject-refusal":           actInjectRefusal,
}
