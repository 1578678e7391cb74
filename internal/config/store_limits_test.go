package config

import "testing"

// TestStoreLimits: the lower ones of today's limits and those to come are in force from the start;
// what is not announced stays.
func TestStoreLimits(t *testing.T) {
	today := KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32}
	value, operations, more := 2.0, 10, 500.0
	for _, c := range []struct {
		name string
		next *AnnouncedLimits
		want StoreLimits
	}{
		{"none", nil, StoreLimits{200, 80, 8192, 32, 128}},
		{"empty", &AnnouncedLimits{}, StoreLimits{200, 80, 8192, 32, 128}},
		{"lower", &AnnouncedLimits{ValueKiB: &value, TransactionOperations: &operations}, StoreLimits{200, 80, 2048, 10, 40}},
		{"higher", &AnnouncedLimits{RequestsPerSecond: &more, WritesPerSecond: &more}, StoreLimits{200, 80, 8192, 32, 128}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := today
			store.Announced = c.next
			if got := store.Limits(); got != c.want {
				t.Errorf("%+v, not %+v", got, c.want)
			}
		})
	}
}
