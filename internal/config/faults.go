package config

import (
	"fmt"
	"net/netip"
)

// faults are settings that are missing or impossible, each named by its field.
type faults []error

const (
	missing     = "missing"
	notPositive = "missing or not above 0"
)

func (f *faults) add(field, what string) { *f = append(*f, fmt.Errorf("%s: %s", field, what)) }

// address checks that a setting is an IP address with a port.
func (f *faults) address(field, value string) {
	if value == "" {
		f.add(field, missing)
	} else if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(field, "not an IP address and port")
	}
}

func (f *faults) positive(field string, value float64) {
	if !(value > 0) {
		f.add(field, notPositive)
	}
}

// unique checks that a name is given, and not given before.
func (f *faults) unique(field, name string, seen map[string]bool) {
	if name == "" {
		f.add(field, missing)
	} else if seen[name] {
		f.add(field, "given twice")
	}
	seen[name] = true
}
