package scenario

// action reads the arguments of a line of the script and returns what the line
// does. What is named only at that time (a machine, "leader") is looked up when
// it happens.
type action func(s *sim, line *statement) func()

// actions are the verbs of a script.
var actions = map[string]action{
	"submit":        actSubmit,
	"pipeline":      actPipeline,
	"withdraw":      actWithdraw,
	"crash":         actCrash,
	"freeze":        actFreeze,
	"stop":          actStop,
	"start":         actStart,
	"cut":           actCut,
	"heal":          actCut,
	"zone-cut":      actZoneCut,
	"hang":          actHang,
	"outage":        actOutage,
	"cloud-outage":  actCloudOutage,
	"lose":          actLose,
	"cloud-lose":    actCloudLose,
	"deaf":          actDeaf,
	"mute":          actDeaf,
	"drag":          actDrag,
	"slow-state":    actSlowState,
	"cancel-now":    actCancelNow,
	"only-well":     actOnlyWell,
	"cancel-at-end": actCancelAtEnd,
	"odd":           actOdd,
	"restart":       actRestart,
	"upgrade":       actUpgrade,
	"lower-limits":  actLowerLimits,
	"keep-copies":   actKeepCopies,
	"late-commands": actLateCommands,
	"close-looks":   actCloseLooks,
	"copies":        actCopies,
	"calm":          actCalm,
	"rogue-mute":    actRogueMute,
	"stream":        actStream,
	"echo":          actEcho,
	"no-boot":       actNoBoot,
	"die":           actDie,
	"take":          actTake,
	"machine-cut":   actMachineCut,
	"faulty":        actFaulty,
	"slow":          actSlow,
	"rogue-start":   actRogueStart,
	"rogue-told":    actRogueTold,
	"rogue-refused": actRogueRefused,
}
