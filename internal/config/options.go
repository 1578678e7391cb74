package config

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Options are the operators' own settings.
type Options struct {
	CycleSeconds          float64 // between two cycles of the autoscaler
	ScaleOutWindowSeconds float64 // how long work is blocked before the autoscaler scales out
	ScaleInWindowSeconds  float64 // how long the cheapest kind of machine is idle enough before it drains; less for dearer ones
	ScaleInBelow          float64 // booked share of a machine's CPUs below which it may drain
	FleetMin              int     // machines that are always kept
	FleetMax              int     // machines at most
	FleetExpected         int     // machines that operators expect at once, for warnings only; 0: not said
	ScaleOutPatience      float64 // boot times of a new machine that arrays wait for the machines there are
	SpareReplicas         int     // replicas of each kind of running service for which room is kept
	ScaleOutCallsPerCycle int     // cloud calls that create machines in a cycle at most; 0: see ScaleOutCalls
	BootPatience          float64 // multiples of a type's boot time after which a boot counts as failed
	ShardLeaseSeconds     float64 // a holder's lease on its shards; 0: see ShardLease
	JobShards             int     // among which the jobs are split; 0: derived from the number of controllers
	SilenceSeconds        float64 // silence after which a machine is replaced while it is listed as running; 0: see SilenceTimeout
}

// DefaultOptions are used where the operators' file says nothing.
func DefaultOptions() Options {
	return Options{
		CycleSeconds:          1,
		ScaleOutWindowSeconds: 1,
		ScaleInWindowSeconds:  25,
		ScaleInBelow:          0.3,
		FleetMax:              10000,
		ScaleOutPatience:      2,
		SpareReplicas:         4,
		BootPatience:          2.5,
	}
}

// optionRange is an option of the file: its name and the values that it may have, and
// where they go.
type optionRange struct {
	name      string
	low, high float64 // both allowed
	whole     bool    // no fractions
	set       func(options *Options, value float64)
}

// optionTable is every option. deploy/options.hcl says the same to operators; a test
// checks that it leaves none out and gives the defaults.
func optionTable() []optionRange {
	return []optionRange{
		{"cycle_s", 0.2, 60, false, func(o *Options, value float64) { o.CycleSeconds = value }},
		{"rent_window_s", 0, 600, false, func(o *Options, value float64) { o.ScaleOutWindowSeconds = value }},
		{"give_window_s", 0, 3600, false, func(o *Options, value float64) { o.ScaleInWindowSeconds = value }},
		{"give_below", 0, 1, false, func(o *Options, value float64) { o.ScaleInBelow = value }},
		{"fleet_min", 0, 100000, true, func(o *Options, value float64) { o.FleetMin = int(value) }},
		{"fleet_max", 1, 100000, true, func(o *Options, value float64) { o.FleetMax = int(value) }},
		{"fleet_expected", 0, 100000, true, func(o *Options, value float64) { o.FleetExpected = int(value) }},
		{"calls_per_cycle", 0, 20, true, func(o *Options, value float64) { o.ScaleOutCallsPerCycle = int(value) }},
		{"boot_patience", 1.5, 20, false, func(o *Options, value float64) { o.BootPatience = value }},
		{"rent_patience", 0, 20, false, func(o *Options, value float64) { o.ScaleOutPatience = value }},
		{"service_spare", 0, 1000, true, func(o *Options, value float64) { o.SpareReplicas = int(value) }},
		{"block_lease_s", 0, 600, false, func(o *Options, value float64) { o.ShardLeaseSeconds = value }},
		{"homes", 0, 1000, true, func(o *Options, value float64) { o.JobShards = int(value) }},
		{"silent_s", 0, 3600, false, func(o *Options, value float64) { o.SilenceSeconds = value }},
	}
}

// LoadOptions reads the operators' file; an empty path gives the defaults. Its error is
// the file's or that of ParseOptions.
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

// ParseOptions reads options from HCL. The error wraps hcl.Diagnostics, which name file
// and line, or ErrFleetBounds.
func ParseOptions(path string, data []byte) (Options, error) {
	options := DefaultOptions()
	file, diagnostics := hclparse.NewParser().ParseHCL(data, path)
	if diagnostics.HasErrors() {
		return options, fmt.Errorf("options: %w", diagnostics)
	}
	attributes, diagnostics := file.Body.JustAttributes()
	if diagnostics.HasErrors() {
		return options, fmt.Errorf("options: %w", diagnostics)
	}
	table := optionTable()
	for _, attribute := range attributes {
		diagnostics = diagnostics.Extend(options.read(table, attribute))
	}
	if diagnostics.HasErrors() {
		return options, fmt.Errorf("options: %w", diagnostics)
	}
	if options.FleetMin > options.FleetMax {
		return options, fmt.Errorf("options: %s: %w", path, ErrFleetBounds)
	}
	return options, nil
}

// read takes in one option of the file.
func (o *Options) read(table []optionRange, attribute *hcl.Attribute) hcl.Diagnostics {
	option := findOption(table, attribute.Name)
	if option == nil {
		return optionFault(attribute, "no such option")
	}
	var value float64
	if diagnostics := gohcl.DecodeExpression(attribute.Expr, nil, &value); diagnostics.HasErrors() {
		return diagnostics
	}
	if !option.allows(value) {
		return optionFault(attribute, fmt.Sprintf("%v is out of range, %v to %v", value, option.low, option.high))
	}
	option.set(o, value)
	return nil
}

func findOption(table []optionRange, name string) *optionRange {
	for i := range table {
		if table[i].name == name {
			return &table[i]
		}
	}
	return nil
}

// allows reports whether an option may have a value.
func (r *optionRange) allows(value float64) bool {
	if value < r.low || value > r.high {
		return false
	}
	return !r.whole || value == float64(int(value))
}

// optionFault points to an option in the file.
func optionFault(attribute *hcl.Attribute, problem string) hcl.Diagnostics {
	return hcl.Diagnostics{{Severity: hcl.DiagError, Summary: attribute.Name, Detail: problem, Subject: &attribute.Range}}
}

// ScaleOutCalls is how many cloud calls that create machines a cycle may make: two, or as
// many as six tenths of what the cloud allows in a second.
func (o Options) ScaleOutCalls(cloud Cloud) int {
	if o.ScaleOutCallsPerCycle > 0 {
		return o.ScaleOutCallsPerCycle
	}
	return max(2, int(cloud.RequestsPerSecond*0.6))
}

// ShardLease is a holder's lease on its shards: a tenth of the agents' lease, never more
// than half of what cancelling leaves beyond it.
func (o Options) ShardLease(agents Agents) time.Duration {
	longest := (agents.CancelTimeout() - agents.Lease()) / 2
	if o.ShardLeaseSeconds > 0 {
		return min(Seconds(o.ShardLeaseSeconds), longest)
	}
	return min(max(agents.Lease()/10, 2*time.Second), longest)
}

// SilenceTimeout is how long a running machine may say nothing before it is replaced:
// until its agent's lease has ended its tasks, or a dead machine would begin to
// show in the cloud's list. Giving up a machine sooner ends services that a
// short partition would have spared.
func (o Options) SilenceTimeout(agents Agents) time.Duration {
	if o.SilenceSeconds > 0 {
		return Seconds(o.SilenceSeconds)
	}
	return min(agents.Lease(), 30*time.Second)
}
