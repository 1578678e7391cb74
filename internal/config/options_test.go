package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestParseOptions checks that options replace the defaults and that the error for an invalid
// option names the option or its position.
func TestParseOptions(t *testing.T) {
	options, err := ParseOptions("o.hcl", []byte("cycle_s = 2\nfleet_max = 12\n"))
	want := DefaultOptions()
	want.CycleSeconds, want.FleetMax = 2, 12
	if err != nil || options != want {
		t.Errorf("%+v, %v", options, err)
	}
	if _, err := ParseOptions("o.hcl", []byte("fleet_min = 10\nfleet_max = 5\n")); !errors.Is(err, ErrFleetBounds) {
		t.Errorf("error %v", err)
	}
	for _, c := range []struct{ text, want string }{
		{"cycle_s = 0\n", "o.hcl:1"},
		{"\nno_such = 1\n", "o.hcl:2"},
		{"fleet_max = 1.5\n", "fleet_max"},
		{"cycle_s = \"fast\"\n", "o.hcl:1"},
		{"cycle_s = \n", "o.hcl:1"},
		{"fleet_min = 10\nfleet_max = 5\n", "fleet_min"},
	} {
		t.Run(c.text, func(t *testing.T) {
			if _, err := ParseOptions("o.hcl", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not name %s", err, c.want)
			}
		})
	}
}

// TestExampleOptions checks that the example file contains every option and sets the defaults.
func TestExampleOptions(t *testing.T) {
	data, err := os.ReadFile("../../deploy/options.hcl")
	if err != nil {
		t.Fatal(err)
	}
	options, err := ParseOptions("options.hcl", data)
	if err != nil {
		t.Fatal(err)
	}
	if options != DefaultOptions() {
		t.Errorf("the example sets %+v, the defaults are %+v", options, DefaultOptions())
	}
	for _, option := range optionTable() {
		if !strings.Contains(string(data), option.name) {
			t.Errorf("the example omits %s", option.name)
		}
	}
}

// TestLoadOptions checks that an empty path returns the defaults and that a missing file is an
// error.
func TestLoadOptions(t *testing.T) {
	if options, err := LoadOptions(""); err != nil || options != DefaultOptions() {
		t.Errorf("%+v, %v", options, err)
	}
	path := filepath.Join(t.TempDir(), "options.hcl")
	if _, err := LoadOptions(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte("homes = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if options, err := LoadOptions(path); err != nil || options.JobShards != 3 {
		t.Errorf("%+v, %v", options, err)
	}
}

// parseOption parses a file with one option. fleet_max is set to its maximum, so that every
// fleet_min is valid.
func parseOption(name string, value float64) (Options, error) {
	text := fmt.Sprintf("%s = %v\n", name, value)
	if name != "fleet_max" {
		text += "fleet_max = 100000\n"
	}
	return ParseOptions("o.hcl", []byte(text))
}

// TestOptionRanges checks that each option is accepted at both bounds of its range and rejected
// beyond them, and that a fraction is rejected for integer options only.
func TestOptionRanges(t *testing.T) {
	for _, option := range optionTable() {
		for _, value := range []float64{option.low, option.high} {
			if _, err := parseOption(option.name, value); err != nil {
				t.Errorf("%s = %v is rejected: %v", option.name, value, err)
			}
		}
		for _, value := range []float64{option.low - 1, option.high + 1} {
			if _, err := parseOption(option.name, value); err == nil || !strings.Contains(err.Error(), option.name) {
				t.Errorf("%s = %v: error %v", option.name, value, err)
			}
		}
		if _, err := parseOption(option.name, option.low+0.5); (err != nil) != option.integer {
			t.Errorf("%s with a fraction: error %v", option.name, err)
		}
	}
}

// TestOptionsSetDistinctFields checks that each option sets a field and that no two options set
// the same field.
func TestOptionsSetDistinctFields(t *testing.T) {
	setters := map[Options]string{}
	for _, option := range optionTable() {
		low, lowErr := parseOption(option.name, option.low)
		high, highErr := parseOption(option.name, option.high)
		if lowErr != nil || highErr != nil || low == high {
			t.Errorf("%s: %+v at the low bound and %+v at the high bound, errors %v and %v", option.name, low, high, lowErr, highErr)
		}
		if other, duplicate := setters[high]; duplicate {
			t.Errorf("%s sets the same field as %s", option.name, other)
		}
		setters[high] = option.name
	}
}

// TestDerivedOptions checks the values that are derived from the settings where an option is 0.
func TestDerivedOptions(t *testing.T) {
	agents := Agents{LeaseSeconds: 40, CancelSeconds: 60}
	for name, c := range map[string]struct {
		options    Options
		cloudRate  float64
		calls      int
		shardLease time.Duration
		silence    time.Duration
	}{
		"derived":        {Options{}, 10, 6, 4 * time.Second, 30 * time.Second},
		"slow cloud":     {Options{}, 1, 2, 4 * time.Second, 30 * time.Second},
		"given":          {Options{ScaleOutCallsPerCycle: 1, ShardLeaseSeconds: 7, SilenceSeconds: 90}, 10, 1, 7 * time.Second, 90 * time.Second},
		"lease too long": {Options{ShardLeaseSeconds: 500}, 10, 6, 10 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			calls := c.options.ScaleOutCalls(Cloud{RequestsPerSecond: c.cloudRate})
			shardLease, silence := c.options.ShardLease(agents), c.options.SilenceTimeout(agents)
			if calls != c.calls || shardLease != c.shardLease || silence != c.silence {
				t.Errorf("%d calls, shard lease %s, silence %s", calls, shardLease, silence)
			}
		})
	}
}
