package config

import (
	"errors"
	"net/netip"
)

// FieldError is a setting that is missing or impossible. ParseSettings returns all that it
// finds joined; errors.As finds the first.
type FieldError struct {
	Field   string // as in the file, such as cluster.teams[0].name
	Problem string
}

// Error names the field and its problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ErrFleetBounds is returned for options that keep more machines than there may be.
var ErrFleetBounds = errors.New("fleet_min is above fleet_max")

// Problems of fields.
const (
	problemMissing     = "missing"
	problemNotPositive = "missing or not above 0"
	problemNegative    = "below 0"
	problemTwice       = "given twice"
	problemNoAddress   = "not an IP address and port"
)

// fieldErrors collects the faults of settings.
type fieldErrors []error

func (f *fieldErrors) add(field, problem string) {
	*f = append(*f, &FieldError{Field: field, Problem: problem})
}

// requireAddress checks that a setting is an IP address with a port.
func (f *fieldErrors) requireAddress(field, value string) {
	if value == "" {
		f.add(field, problemMissing)
	} else if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(field, problemNoAddress)
	}
}

func (f *fieldErrors) requirePositive(field string, value float64) {
	if !(value > 0) { // also of a value that is not a number
		f.add(field, problemNotPositive)
	}
}

// requireUnique checks that a name is given, and not among the names seen before.
func (f *fieldErrors) requireUnique(field, name string, seen map[string]bool) {
	if name == "" {
		f.add(field, problemMissing)
	} else if seen[name] {
		f.add(field, problemTwice)
	}
	seen[name] = true
}
