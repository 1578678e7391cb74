package config

import "testing"

// TestStoreLimits checks that the lower of each current limit and its announced value is in
// force from the start, and that limits without an announced value stay unchanged.
func TestStoreLimits(t *testing.T) {
	current := KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32}
	lowerValue, lowerOperations, higherRate := 2.0, 10, 500.0
	for _, c := range []struct {
		name string
		next *AnnouncedLimits
		want StoreLimits
	}{
		{"none", nil, StoreLimits{200, 80, 8192, 32, 128}},
		{"empty", &AnnouncedLimits{}, StoreLimits{200, 80, 8192, 32, 128}},
		{"lower", &AnnouncedLimits{ValueKiB: &lowerValue, TransactionOperations: &lowerOperations}, StoreLimits{200, 80, 2048, 10, 40}},
		{"higher", &AnnouncedLimits{RequestsPerSecond: &higherRate, WritesPerSecond: &higherRate}, StoreLimits{200, 80, 8192, 32, 128}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := current
			store.Announced = c.next
			if got := store.Limits(); got != c.want {
				t.Errorf("limits %+v, want %+v", got, c.want)
			}
		})
	}
}
