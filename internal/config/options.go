package config

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Options are the operators' own settings. Times are in seconds.
type Options struct {
	CycleSeconds          float64 // between two looks of the sizer at the fleet
	ScaleOutWindowSeconds float64 // how long work is blocked before machines are rented
	ScaleInWindowSeconds  float64 // how long the cheapest kind of machine is idle enough before it drains; less for dearer ones
	ScaleInBelow          float64 // booked share below which a machine may be given back
	FleetMin              int     // machines never given back
	FleetMax              int     // machines at most
	FleetExpected         int     // machines that operators expect at once, for warnings only; 0: not said
	ScaleOutPatience      float64 // boot times of a new machine that arrays wait for the machines there are
	SpareReplicas         int     // replicas of each kind of running service for which room is kept
	ScaleOutCallsPerCycle int     // cloud calls for rentals a cycle at most; 0: derived from what the cloud allows
	BootPatience          float64 // multiples of a type's boot time after which a boot counts as failed
	ShardLeaseSeconds     float64 // a holder's lease on its machines; 0: derived from the workers' lease
	JobShards             int     // shards among which the work is split; 0: derived from the number of controllers
	SilenceSeconds        float64 // silence after which a machine is given up while it is listed as running; 0: derived
}

// DefaultOptions are used where the operators' file says nothing.
func DefaultOptions() Options {
	return Options{
		CycleSeconds: 1, ScaleOutWindowSeconds: 1, ScaleInWindowSeconds: 25, ScaleInBelow: 0.3,
		FleetMin: 0, FleetMax: 10000, ScaleOutCallsPerCycle: 0, BootPatience: 2.5, SpareReplicas: 4, ScaleOutPatience: 2,
	}
}

// optionRange is the table behind options files and their documentation.
type optionRange struct {
	name     string
	low, top float64
	whole    bool
	set      func(*Options, float64)
}

func optionTable() []optionRange {
	return []optionRange{
		{"cycle_s", 0.2, 60, false, func(o *Options, v float64) { o.CycleSeconds = v }},
		{"rent_window_s", 0, 600, false, func(o *Options, v float64) { o.ScaleOutWindowSeconds = v }},
		{"give_window_s", 0, 3600, false, func(o *Options, v float64) { o.ScaleInWindowSeconds = v }},
		{"give_below", 0, 1, false, func(o *Options, v float64) { o.ScaleInBelow = v }},
		{"fleet_min", 0, 100000, true, func(o *Options, v float64) { o.FleetMin = int(v) }},
		{"fleet_max", 1, 100000, true, func(o *Options, v float64) { o.FleetMax = int(v) }},
		{"fleet_expected", 0, 100000, true, func(o *Options, v float64) { o.FleetExpected = int(v) }},
		{"calls_per_cycle", 0, 20, true, func(o *Options, v float64) { o.ScaleOutCallsPerCycle = int(v) }},
		{"boot_patience", 1.5, 20, false, func(o *Options, v float64) { o.BootPatience = v }},
		{"rent_patience", 0, 20, false, func(o *Options, v float64) { o.ScaleOutPatience = v }},
		{"service_spare", 0, 1000, true, func(o *Options, v float64) { o.SpareReplicas = int(v) }},
		{"block_lease_s", 0, 600, false, func(o *Options, v float64) { o.ShardLeaseSeconds = v }},
		{"homes", 0, 1000, true, func(o *Options, v float64) { o.JobShards = int(v) }},
		{"silent_s", 0, 3600, false, func(o *Options, v float64) { o.SilenceSeconds = v }},
	}
}

// LoadOptions reads the operators' file; an empty path gives the defaults.
func LoadOptions(path string) (Options, error) {
	if path == "" {
		return DefaultOptions(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("options: %w", err)
	}
	return ParseOptions(path, data)
}

// ParseOptions reads options from HCL. Errors name file and line.
func ParseOptions(path string, data []byte) (Options, error) {
	o := DefaultOptions()
	file, diags := hclparse.NewParser().ParseHCL(data, path)
	if diags.HasErrors() {
		return o, fmt.Errorf("options: %w", diags)
	}
	attrs, diags := file.Body.JustAttributes()
	if diags.HasErrors() {
		return o, fmt.Errorf("options: %w", diags)
	}
	table := optionTable()
	for name, attr := range attrs {
		var known *optionRange
		for i := range table {
			if table[i].name == name {
				known = &table[i]
			}
		}
		wrong := func(what string) {
			diags = diags.Append(&hcl.Diagnostic{Severity: hcl.DiagError, Summary: name, Detail: what, Subject: &attr.Range})
		}
		if known == nil {
			wrong("no such option")
			continue
		}
		var v float64
		if d := gohcl.DecodeExpression(attr.Expr, nil, &v); d.HasErrors() {
			diags = diags.Extend(d)
			continue
		}
		if v < known.low || v > known.top || known.whole && v != float64(int(v)) {
			wrong(fmt.Sprintf("%v is out of range, %v to %v", v, known.low, known.top))
			continue
		}
		known.set(&o, v)
	}
	if diags.HasErrors() {
		return o, fmt.Errorf("options: %w", diags)
	}
	if o.FleetMin > o.FleetMax {
		return o, fmt.Errorf("options: %s: fleet_min is above fleet_max", path)
	}
	return o, nil
}

// Calls is how many rental calls a cycle may make: two, or as many as six tenths
// of what the cloud allows in a second.
func (o Options) ScaleOutCalls(c Cloud) int {
	if o.ScaleOutCallsPerCycle > 0 {
		return o.ScaleOutCallsPerCycle
	}
	return max(2, int(c.RequestsPerSecond*0.6))
}

// BlockLease is a holder's lease on its machines: a tenth of the workers'
// lease, never more than half of what cancelling leaves beyond it.
func (o Options) ShardLease(w Agents) time.Duration {
	top := (w.CancelTimeout() - w.Lease()) / 2
	if o.ShardLeaseSeconds > 0 {
		return min(seconds(o.ShardLeaseSeconds), top)
	}
	return min(max(w.Lease()/10, 2*time.Second), top)
}

// Silence is how long a running machine may say nothing before it is replaced:
// until its worker's lease has ended its tasks, or a dead machine would begin to
// show in the cloud's list. Giving up a machine sooner ends services that a
// short cut would have spared.
func (o Options) SilenceTimeout(w Agents) time.Duration {
	if o.SilenceSeconds > 0 {
		return seconds(o.SilenceSeconds)
	}
	return min(w.Lease(), 30*time.Second)
}
