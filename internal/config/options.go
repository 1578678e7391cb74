package config

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// Options holds the operators' options.
type Options struct {
	CycleSeconds          float64 // interval between autoscaler cycles
	ScaleOutWindowSeconds float64 // how long tasks must be blocked before the autoscaler scales out
	ScaleInWindowSeconds  float64 // how long a machine with the cheapest CPUs must be idle before it drains; shorter for machines with more expensive CPUs
	ScaleInBelow          float64 // booked share of a machine's CPUs below which the machine is idle
	FleetMin              int     // minimum number of machines; scale-in does not go below it
	FleetMax              int     // maximum number of machines
	FleetExpected         int     // number of machines that operators expect at a time; used only by Warnings; 0: not given
	ScaleOutWaitFactor    float64 // arrays wait for existing machines for up to this multiple of a new machine's boot time
	SpareReplicas         int     // replicas of each shape of running service for which spare capacity is reserved
	ScaleOutCallsPerCycle int     // maximum number of create requests to the cloud per cycle; 0: see ScaleOutCalls
	BootTimeoutFactor     float64 // multiple of a machine type's boot time after which a boot counts as failed
	ShardLeaseSeconds     float64 // how long a holder may act without contact to the leader; 0: see ShardLease
	JobShards             int     // number of job shards; 0: derived from the number of controllers
	SilenceSeconds        float64 // time without a heartbeat after which a machine is replaced although the cloud lists it as running; 0: see SilenceTimeout
}

// DefaultOptions returns the options that apply where the operators' file sets none.
func DefaultOptions() Options {
	return Options{
		CycleSeconds:          1,
		ScaleOutWindowSeconds: 1,
		ScaleInWindowSeconds:  25,
		ScaleInBelow:          0.3,
		FleetMax:              10000,
		ScaleOutWaitFactor:    2,
		SpareReplicas:         4,
		BootTimeoutFactor:     2.5,
	}
}

// optionSpec describes an option of the file: its name, its allowed values and how to set it.
type optionSpec struct {
	name      string
	low, high float64 // inclusive bounds
	integer   bool    // fractions are rejected
	set       func(options *Options, value float64)
}

// optionTable returns all options. deploy/options.hcl documents them for operators; a test
// checks that the file contains every option and sets the defaults.
func optionTable() []optionSpec {
	return []optionSpec{
		{"cycle_s", 0.2, 60, false, func(o *Options, value float64) { o.CycleSeconds = value }},
		{"rent_window_s", 0, 600, false, func(o *Options, value float64) { o.ScaleOutWindowSeconds = value }},
		{"give_window_s", 0, 3600, false, func(o *Options, value float64) { o.ScaleInWindowSeconds = value }},
		{"give_below", 0, 1, false, func(o *Options, value float64) { o.ScaleInBelow = value }},
		{"fleet_min", 0, 100000, true, func(o *Options, value float64) { o.FleetMin = int(value) }},
		{"fleet_max", 1, 100000, true, func(o *Options, value float64) { o.FleetMax = int(value) }},
		{"fleet_expected", 0, 100000, true, func(o *Options, value float64) { o.FleetExpected = int(value) }},
		{"calls_per_cycle", 0, 20, true, func(o *Options, value float64) { o.ScaleOutCallsPerCycle = int(value) }},
		{"boot_patience", 1.5, 20, false, func(o *Options, value float64) { o.BootTimeoutFactor = value }},
		{"rent_patience", 0, 20, false, func(o *Options, value float64) { o.ScaleOutWaitFactor = value }},
		{"service_spare", 0, 1000, true, func(o *Options, value float64) { o.SpareReplicas = int(value) }},
		{"block_lease_s", 0, 600, false, func(o *Options, value float64) { o.ShardLeaseSeconds = value }},
		{"homes", 0, 1000, true, func(o *Options, value float64) { o.JobShards = int(value) }},
		{"silent_s", 0, 3600, false, func(o *Options, value float64) { o.SilenceSeconds = value }},
	}
}

// LoadOptions reads the operators' file. For an empty path it returns the defaults. The error
// is from reading the file or from ParseOptions.
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

// ParseOptions parses options from HCL. The error wraps hcl.Diagnostics, which name file
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
		diagnostics = diagnostics.Extend(options.applyAttribute(table, attribute))
	}
	if diagnostics.HasErrors() {
		return options, fmt.Errorf("options: %w", diagnostics)
	}
	if options.FleetMin > options.FleetMax {
		return options, fmt.Errorf("options: %s: %w", path, ErrFleetBounds)
	}
	return options, nil
}

// applyAttribute validates one option of the file and sets it.
func (o *Options) applyAttribute(table []optionSpec, attribute *hcl.Attribute) hcl.Diagnostics {
	option := findOption(table, attribute.Name)
	if option == nil {
		return attributeError(attribute, "unknown option")
	}
	var value float64
	if diagnostics := gohcl.DecodeExpression(attribute.Expr, nil, &value); diagnostics.HasErrors() {
		return diagnostics
	}
	if !option.allows(value) {
		return attributeError(attribute, fmt.Sprintf("%v is out of range; allowed: %v to %v", value, option.low, option.high))
	}
	option.set(o, value)
	return nil
}

func findOption(table []optionSpec, name string) *optionSpec {
	for i := range table {
		if table[i].name == name {
			return &table[i]
		}
	}
	return nil
}

// allows reports whether a value is allowed for the option.
func (spec *optionSpec) allows(value float64) bool {
	if value < spec.low || value > spec.high {
		return false
	}
	return !spec.integer || value == float64(int(value))
}

// attributeError returns a diagnostic for an option, with its position in the file.
func attributeError(attribute *hcl.Attribute, problem string) hcl.Diagnostics {
	return hcl.Diagnostics{{Severity: hcl.DiagError, Summary: attribute.Name, Detail: problem, Subject: &attribute.Range}}
}

// ScaleOutCalls returns the maximum number of create requests to the cloud per cycle. The
// default is 60% of the requests that the cloud allows per second, but at least 2.
func (o Options) ScaleOutCalls(cloud Cloud) int {
	if o.ScaleOutCallsPerCycle > 0 {
		return o.ScaleOutCallsPerCycle
	}
	return max(2, int(cloud.RequestsPerSecond*0.6))
}

// ShardLease returns how long a holder may act without contact to the leader. The default is
// a tenth of the agents' lease, but at least 2 s. The shard lease never exceeds half of the
// time between the end of the agents' lease and the cancel timeout.
func (o Options) ShardLease(agents Agents) time.Duration {
	longest := (agents.CancelTimeout() - agents.Lease()) / 2
	if o.ShardLeaseSeconds > 0 {
		return min(Seconds(o.ShardLeaseSeconds), longest)
	}
	return min(max(agents.Lease()/10, 2*time.Second), longest)
}

// SilenceTimeout returns how long a running machine may send no heartbeat before it is
// replaced. The default is the agents' lease, after which the agent has ended its tasks, but at
// most 30 s, after which the cloud's list begins to show a dead machine. Replacing a machine
// sooner ends services that would have survived a short partition.
func (o Options) SilenceTimeout(agents Agents) time.Duration {
	if o.SilenceSeconds > 0 {
		return Seconds(o.SilenceSeconds)
	}
	return min(agents.Lease(), 30*time.Second)
}
