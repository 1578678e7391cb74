package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// validSettings is the minimum that a controller starts with, plus a field of a later version.
const validSettings = `
node_name = "a"
area = "north"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown_field = 7
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

// TestParseSettings checks that the error for a missing or invalid setting names its field.
func TestParseSettings(t *testing.T) {
	if _, err := ParseSettings([]byte(validSettings)); err != nil {
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
		t.Run(c.to+" for "+c.from, func(t *testing.T) {
			if !strings.Contains(validSettings, c.from) {
				t.Fatalf("validSettings does not contain %s", c.from)
			}
			_, err := ParseSettings([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %s", err, c.field)
			}
			var fieldErr *FieldError
			var decodeErr *toml.DecodeError
			if errors.As(err, &fieldErr) == errors.As(err, &decodeErr) || fieldErr != nil && fieldErr.Field != c.field {
				t.Errorf("error %v has the field error %+v", err, fieldErr)
			}
		})
	}
}

// TestUnknownSettingsAreIgnored guards against an unknown field, whose name differs from that of
// a known one in case only, that replaces the known one or fails as if it were that one.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	want, err := ParseSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	for from, to := range map[string]string{
		`node_name = "a"`: "node_name = \"a\"\nNode_Name = \"z\"\nNODE_NAME = 7",
		`lease_s = 30.0`:  "lease_s = 30.0\nLease_S = 1.0",
		`name = "red"`:    "name = \"red\"\nName = \"blue\"",
		`txn_ops = 32`:    "txn_ops = 32\nTxn_Ops = \"few\"",
		`[cluster.cloud]`: "[cluster.State]\nrps = 1.0\n[cluster.cloud]",
		`node_name = "b"`: "node_name = \"b\"\nAddress = \"nowhere\"",
		`cancel_s = 60.0`: "cancel_s = 60.0\nunknown = 1",
	} {
		if !strings.Contains(validSettings, from) {
			t.Fatalf("validSettings does not contain %s", from)
		}
		got, err := ParseSettings([]byte(strings.Replace(validSettings, from, to, 1)))
		if err != nil {
			t.Errorf("%s: %v", to, err)
			continue
		}
		if len(got.IgnoredFields) == 0 && !strings.Contains(to, "unknown") {
			t.Errorf("%s: the field is not named as ignored", to)
		}
		got.IgnoredFields = nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v", to, got)
		}
	}
	if _, err := ParseSettings([]byte(strings.Replace(validSettings, `node_name = "a"`, `Node_Name = "a"`, 1))); err == nil {
		t.Error("a missing field is replaced by an unknown one")
	}
}

// TestFieldErrorMessages checks that the error lists every invalid field on a line of its own.
func TestFieldErrorMessages(t *testing.T) {
	replaced := strings.NewReplacer(`public_addr = "10.0.0.1:8080"`, ``, `node_name = "b"`, `node_name = "a"`, `cpus = 64.0`, `cpus = -1.0`,
		`cancel_s = 60.0`, `cancel_s = 20.0`, `txn_ops = 32`, `txn_ops = 2`, `rps = 4.0`, ``, `cloud = "10.2.0.2:8443"`, `cloud = "cloud"`)
	_, err := ParseSettings([]byte(replaced.Replace(validSettings)))
	const want = `public_addr: missing
external.cloud: not an IP address and port
siblings[0].node_name: given twice
cluster.teams[0].cpus: below 0
cluster.workers.cancel_s: must exceed lease_s
cluster.state.txn_ops: missing or below 3
cluster.cloud.rps: missing or not above 0`
	if err == nil || err.Error() != want {
		t.Errorf("%v", err)
	}
	_, err = ParseSettings([]byte("node_name = 7\n"))
	if err == nil || !strings.HasPrefix(err.Error(), "line 1: node_name: ") {
		t.Errorf("%v", err)
	}
}

// TestLoadSettings checks that errors name the file and that the error for a missing file wraps
// fs.ErrNotExist.
func TestLoadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if _, err := LoadSettings(path); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), path) {
		t.Errorf("missing file: %v", err)
	}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	var fieldErr *FieldError
	if _, err := LoadSettings(path); !errors.As(err, &fieldErr) || !strings.Contains(err.Error(), path) {
		t.Errorf("empty file: %v", err)
	}
	write(validSettings)
	settings, err := LoadSettings(path)
	if err != nil || settings.Controller != "a" || settings.Zone != "north" || len(settings.Peers) != 1 {
		t.Errorf("%+v, %v", settings, err)
	}
}
