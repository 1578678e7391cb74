package config

import (
	"errors"
	"net/netip"
)

// FieldError reports a setting that is missing or invalid. ParseSettings returns all field
// errors joined; errors.As finds the first one.
type FieldError struct {
	Field   string // path in the settings file, such as cluster.teams[0].name
	Problem string
}

// Error returns the field and its problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ErrFleetBounds is returned for options whose minimum fleet size exceeds the maximum.
var ErrFleetBounds = errors.New("fleet_min is above fleet_max")

// Texts of FieldError.Problem.
const (
	problemMissing        = "missing"
	problemNotPositive    = "missing or not above 0"
	problemNegative       = "below 0"
	problemDuplicate      = "given twice"
	problemInvalidAddress = "not an IP address and port"
)

// fieldErrors collects the errors found in the settings.
type fieldErrors []error

func (f *fieldErrors) add(field, problem string) {
	*f = append(*f, &FieldError{Field: field, Problem: problem})
}

// requireAddress checks that a setting is an IP address with a port, and not a host name.
func (f *fieldErrors) requireAddress(field, value string) {
	if value == "" {
		f.add(field, problemMissing)
	} else if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(field, problemInvalidAddress)
	}
}

func (f *fieldErrors) requirePositive(field string, value float64) {
	if !(value > 0) { // also true for NaN
		f.add(field, problemNotPositive)
	}
}

// requireUnique checks that a name is given and not in seen, and adds it to seen.
func (f *fieldErrors) requireUnique(field, name string, seen map[string]bool) {
	if name == "" {
		f.add(field, problemMissing)
	} else if seen[name] {
		f.add(field, problemDuplicate)
	}
	seen[name] = true
}
