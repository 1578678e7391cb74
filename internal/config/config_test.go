package config

import (
	"os"
	"strings"
	"testing"
	"time"
)

const good = `
node_name = "a"
area = "north"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unheard_of = 7
[[siblings]]
node_name = "b"
address = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
initial_size = 2
[[cluster.teams]]
name = "red"
cpus = 64.0
[cluster.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 60.0
[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 32
[cluster.cloud]
rps = 4.0
`

func TestSettings(t *testing.T) {
	if _, err := ParseSettings([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, field string }{
		{`node_name = "a"`, ``, "node_name"},
		{`public_addr = "10.0.0.1:8080"`, `public_addr = "host:8080"`, "public_addr"},
		{`node_name = "b"`, `node_name = "a"`, "siblings[0].node_name"},
		{`state = "10.2.0.1:2379"`, ``, "external.state"},
		{`lease_s = 30.0`, ``, "cluster.workers.lease_s"},
		{`cancel_s = 60.0`, `cancel_s = 30.0`, "cluster.workers.cancel_s"},
		{`txn_ops = 32`, `txn_ops = 1`, "cluster.state.txn_ops"},
		{`name = "red"`, `name = ""`, "cluster.teams[0].name"},
		{`write_rps = 80.0`, `write_rps = -1.0`, "cluster.state.write_rps"},
		{`[cluster.cloud]`, "[cluster.state.next]\nvalue_kb = 0.0\n[cluster.cloud]", "cluster.state.next.value_kb"},
		{`[cluster.cloud]`, "[cluster.state.next]\nvalue_kb = inf\n[cluster.cloud]", "cluster.state.next.value_kb"},
		{`[cluster.cloud]`, "[cluster.state.next]\nvalue_kb = \"two\"\n[cluster.cloud]", "cluster.state.next.value_kb"},
		{`[cluster.cloud]`, "[cluster.state.next]\nwrite_rps = nan\n[cluster.cloud]", "cluster.state.next.write_rps"},
		{`[cluster.cloud]`, "[cluster.state.next]\nrps = -3\n[cluster.cloud]", "cluster.state.next.rps"},
		{`[cluster.cloud]`, "[cluster.state.next]\ntxn_ops = 2\n[cluster.cloud]", "cluster.state.next.txn_ops"},
		{`[cluster.cloud]`, "[cluster.state.next]\ntxn_ops = 9.5\n[cluster.cloud]", "cluster.state.next.txn_ops"},
	} {
		_, err := ParseSettings([]byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q for %q: error %v does not name %s", c.to, c.from, err, c.field)
		}
	}
}

// The lower ones of today's limits and those to come are in force from the start;
// what is not announced stays.
func TestStateLimits(t *testing.T) {
	today := KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32}
	value, txn, more := 2.0, 10, 500.0
	for _, c := range []struct {
		name string
		next *AnnouncedLimits
		want StoreLimits
	}{
		{"none", nil, StoreLimits{200, 80, 8192, 32, 128}},
		{"empty", &AnnouncedLimits{}, StoreLimits{200, 80, 8192, 32, 128}},
		{"lower", &AnnouncedLimits{ValueKiB: &value, TransactionOperations: &txn}, StoreLimits{200, 80, 2048, 10, 40}},
		{"higher", &AnnouncedLimits{RequestsPerSecond: &more, WritesPerSecond: &more}, StoreLimits{200, 80, 8192, 32, 128}},
	} {
		state := today
		state.Announced = c.next
		if got := state.Limits(); got != c.want {
			t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
		}
	}
}

func TestOptions(t *testing.T) {
	o, err := ParseOptions("o.hcl", []byte("cycle_s = 2\nfleet_max = 12\n"))
	if err != nil || o.CycleSeconds != 2 || o.FleetMax != 12 || o.ScaleOutWindowSeconds != DefaultOptions().ScaleOutWindowSeconds {
		t.Errorf("%+v, %v", o, err)
	}
	for _, c := range []struct{ text, names string }{
		{"cycle_s = 0\n", "o.hcl:1"},
		{"\nno_such = 1\n", "o.hcl:2"},
		{"fleet_max = 1.5\n", "fleet_max"},
		{"cycle_s = \"fast\"\n", "o.hcl:1"},
		{"cycle_s = \n", "o.hcl:1"},
		{"fleet_min = 10\nfleet_max = 5\n", "fleet_min"},
	} {
		if _, err := ParseOptions("o.hcl", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%q: error %v does not name %s", c.text, err, c.names)
		}
	}
}

// The example file must say what the defaults are.
func TestExampleOptions(t *testing.T) {
	data, err := os.ReadFile("../../deploy/options.hcl")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOptions("options.hcl", data)
	if err != nil {
		t.Fatal(err)
	}
	if o != DefaultOptions() {
		t.Errorf("the example says %+v, the defaults are %+v", o, DefaultOptions())
	}
	for _, r := range optionTable() {
		if !strings.Contains(string(data), r.name) {
			t.Errorf("the example leaves out %s", r.name)
		}
	}
}

// A cancellation unknown to a holder must reach the end of the worker's lease
// within the time for cancelling, with the answer's way and drift on top.
func TestBudgets(t *testing.T) {
	for _, w := range []Agents{{LeaseSeconds: 30, CancelSeconds: 60}, {LeaseSeconds: 44, CancelSeconds: 74}, {LeaseSeconds: 10, CancelSeconds: 100}, {LeaseSeconds: 4, CancelSeconds: 8}} {
		a := w.MaxStaleness()
		if a <= 0 || a > w.Lease() || a+w.Lease()+w.Lease()/1000+min(4*time.Second, (w.CancelTimeout()-w.Lease())/5) >= w.CancelTimeout() {
			t.Errorf("%+v: authority %s", w, a)
		}
		b := DefaultOptions().ShardLease(w)
		if b <= 0 || b > (w.CancelTimeout()-w.Lease())/2 || b >= a {
			t.Errorf("%+v: block lease %s", w, b)
		}
	}
}
