package scenario

// action reads the arguments of a line of the script and returns what the line
// does. What is named only at that time (a machine, "leader") is looked up when
// it happens.
type action func(s *sim, line *statement) func()

// actions are the verbs of a script.
var actions = map[string]action{
	"submit":                   actSubmit,
	"pipeline":                 actPipeline,
	"cancel":                   actWithdraw,
	"crash":                    actCrash,
	"pause":                    actFreeze,
	"stop":                     actStop,
	"start":                    actStart,
	"partition":                actCut,
	"heal":                     actCut,
	"zone-partition":           actZoneCut,
	"machine-pause":            actHang,
	"store-outage":             actOutage,
	"cloud-outage":             actCloudOutage,
	"store-lost-answers":       actLose,
	"cloud-lost-answers":       actCloudLose,
	"inbound-partition":        actDeaf,
	"outbound-partition":       actDeaf,
	"command-latency":          actDrag,
	"store-latency":            actSlowState,
	"cancel-running":           actCancelNow,
	"healthy-controllers-only": actOnlyWell,
	"cancel-on-completion":     actCancelAtEnd,
	"invalid-requests":         actOdd,
	"machine-restart":          actRestart,
	"upgrade":                  actUpgrade,
	"store-lower-limits":       actLowerLimits,
	"replay-heartbeats":        actKeepCopies,
	"delayed-commands":         actLateCommands,
	"read-your-writes":         actCloseLooks,
	"duplicate-heartbeats":     actCopies,
	"check-liveness":           actCalm,
	"inject-lost-answers":      actRogueMute,
	"stream":                   actStream,
	"duplicate-commands":       actEcho,
	"boot-failures":            actNoBoot,
	"machine-crash":            actDie,
	"reclaim":                  actTake,
	"machine-partition":        actMachineCut,
	"machine-faulty":           actFaulty,
	"machine-slow":             actSlow,
	"inject-start":             actRogueStart,
	"inject-answer":            actRogueTold,
	"inject-refusal":           actRogueRefused,
}
