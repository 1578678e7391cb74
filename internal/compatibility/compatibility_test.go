package compatibility

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"rockrun/internal/protocol"
	"rockrun/internal/scenario"
)

const root = "../.."

// readers are the programs that print what each version understands.
type readers struct{ ours, production string }

// buildReaders builds the reader in these sources and in those of the version in
// production, taken from the repository's history. A test that needs it fails where
// that can't be done: it must never pass over what it is there to check.
func buildReaders(t *testing.T) readers {
	t.Helper()
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/service.toml names no version in production")
	}
	sources := filepath.Join(t.TempDir(), "production")
	if err := os.Mkdir(sources, 0o755); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "-C", root, "archive", string(found[1]))
	extract := exec.Command("tar", "-x", "-C", sources)
	pipe, err := archive.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var complaints bytes.Buffer
	extract.Stdin, archive.Stderr, extract.Stderr = pipe, &complaints, &complaints
	if err := extract.Start(); err != nil {
		t.Fatal(err)
	}
	if err := archive.Run(); err != nil {
		t.Fatalf("the sources in production: %v: %s", err, complaints.String())
	}
	if err := extract.Wait(); err != nil {
		t.Fatalf("the sources in production: %v: %s", err, complaints.String())
	}
	const reader = "internal/compatibility/reader"
	if err := os.CopyFS(filepath.Join(sources, reader), os.DirFS(filepath.Join(root, reader))); err != nil {
		t.Fatal(err)
	}
	older, err := os.ReadFile("testdata/production/records.go.txt")
	if err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(sources, reader), "records.go", older)
	return readers{buildReader(t, root), buildReader(t, sources)}
}

func buildReader(t *testing.T, sources string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "reader")
	build := exec.Command("go", "build", "-o", program, "./internal/compatibility/reader")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the reader in %s: %v: %s", sources, err, out)
	}
	return program
}

// read is what a reader prints of a folder with records and messages.
func read(t *testing.T, program, folder string) string {
	t.Helper()
	c := exec.Command(program, filepath.Join(folder, "records.jsonl"), filepath.Join(folder, "requests.gob"), filepath.Join(folder, "answers.gob"))
	var complaints bytes.Buffer
	c.Stderr = &complaints
	out, err := c.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, complaints.String())
	}
	return string(out)
}

// compare fails unless both versions understand the same of a folder, and all of it.
func (r readers) compare(t *testing.T, folder string) {
	t.Helper()
	ours, theirs := read(t, r.ours, folder), read(t, r.production, folder)
	if strings.Contains(ours+theirs, "not understood") {
		t.Errorf("a record is not understood:\n%s", regexp.MustCompile("(?m)^not understood.*$").FindAllString(ours+theirs, -1))
	}
	if ours != theirs {
		a, b := strings.Split(ours, "\n"), strings.Split(theirs, "\n")
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("this version understands\n%s\nproduction\n%s", a[i], b[i])
			}
		}
		t.Fatalf("this version prints %d lines, production %d", len(a), len(b))
	}
	for _, kind := range []string{"final run-", "job run-", "machine m-", "grant 0", "liveness", "type ", `"Heartbeat":{`, `"Cancelled":["run-`, `"Reply":{`} {
		if !strings.Contains(ours, kind) {
			t.Errorf("the recorded day has nothing of %q, so the test says nothing of it", kind)
		}
	}
}

// TestVersionsReadEachOther: each version understands of the other's records and
// messages what the other does.
func TestVersionsReadEachOther(t *testing.T) {
	r := buildReaders(t)
	t.Run("production's", func(t *testing.T) { r.compare(t, "testdata/production") })
	t.Run("ours", func(t *testing.T) { r.compare(t, playDay(t)) })
}

// playDay plays the day that production recorded with this version, with pipelines in
// it and the limits to come, and writes down what is in the state service at its end.
func playDay(t *testing.T) string {
	t.Helper()
	day, err := txtar.ParseFile("testdata/ours.txtar")
	if err != nil {
		t.Fatal(err)
	}
	result, err := scenario.Run(day, 1, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	var records bytes.Buffer
	encoder := json.NewEncoder(&records)
	waiting := false
	for _, it := range result.Records {
		waiting = waiting || strings.Contains(string(it.Value), `"waitsOn":["run-`)
		if err := encoder.Encode(it); err != nil {
			t.Fatal(err)
		}
	}
	if !waiting {
		t.Error("no job of the recorded day needs others")
	}
	write(t, folder, "records.jsonl", records.Bytes())
	write(t, folder, "requests.gob", encodeAll(t, wireRequests(t)...))
	write(t, folder, "answers.gob", encodeAll(t, wireAnswers()...))
	return folder
}

func write(t *testing.T, folder, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// encodeAll encodes messages as they go over one connection.
func encodeAll[T any](t *testing.T, messages ...T) []byte {
	t.Helper()
	var link bytes.Buffer
	encoder := gob.NewEncoder(&link)
	for _, m := range messages {
		if err := encoder.Encode(m); err != nil {
			t.Fatal(err)
		}
	}
	return link.Bytes()
}

// requests are messages of this version with everything that they can say.
func requests() []protocol.PeerRequest {
	notice := 4.5
	return []protocol.PeerRequest{
		{Heartbeat: &protocol.PeerHeartbeat{
			Controller: "a", Incarnation: 1853070350746620529, SentAt: time.Minute, Term: 7, StoreStaleness: time.Second, Leaving: true,
			Machines: []protocol.MachineStatus{{
				Name: "m-000001", Seen: true, Silent: time.Second, Tasks: 3, Faulty: true, Leaves: true, Unresponsive: true, Addr: "10.1.0.1:9000", Empty: 9,
			}},
			UnrecordedAgents: []protocol.AgentHeartbeat{{
				Machine: "m-000002", Address: "10.1.0.2:9000", MachineType: "small", Zone: "north", Spot: true, Epoch: 2, Sequence: 3, FencingToken: 4, TerminationSeconds: &notice,
				Tasks: []protocol.TaskStatus{{Task: "run-1/0", Attempt: 5, State: protocol.TaskRunning}},
			}},
			QuotaSplitVersion: 4, GrantsWithinQuota: []uint64{1, 2}, ShardHeardAgo: []time.Duration{-1, time.Second},
		}},
		{Cancelled: []string{"run-1", "run-2"}},
		{},
	}
}

// wireRequests are those messages and one filled in every field, as they go over the link.
func wireRequests(t *testing.T) (wire []protocol.PeerRequestWire) {
	t.Helper()
	for _, r := range append(requests(), filledRequest(t)) {
		wire = append(wire, r.Wire())
	}
	return wire
}

func wireAnswers() (wire []protocol.PeerAnswerWire) {
	for _, a := range answers() {
		wire = append(wire, a.Wire())
	}
	return wire
}

// filledRequest is a message without a single zero field, however many there are by now.
func filledRequest(t *testing.T) protocol.PeerRequest {
	t.Helper()
	var request protocol.PeerRequest
	fill(t, reflect.ValueOf(&request).Elem())
	return request
}

// fill sets a value and everything in it to what is not its zero value.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(11)
	case reflect.Uint64:
		v.SetUint(12)
	case reflect.Float64:
		v.SetFloat(13.5)
	case reflect.String:
		v.SetString("run-14")
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	default:
		t.Fatalf("no way to fill a %s", v.Type())
	}
}

// TestLinkKeepsEveryField: what the program says in a message is what it reads from the
// one on the link, and no field on the link is left unset by a message that is filled.
func TestLinkKeepsEveryField(t *testing.T) {
	request := filledRequest(t)
	if got := request.Wire().Request(); !reflect.DeepEqual(got, request) {
		t.Errorf("%+v became %+v", request, got)
	}
	requireFilled(t, "PeerRequestWire", reflect.ValueOf(request.Wire()))
	var answer protocol.PeerAnswer
	fill(t, reflect.ValueOf(&answer).Elem())
	if got := answer.Wire().Answer(); !reflect.DeepEqual(got, answer) {
		t.Errorf("%+v became %+v", answer, got)
	}
	requireFilled(t, "PeerAnswerWire", reflect.ValueOf(answer.Wire()))
}

func requireFilled(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set", name)
	case v.Kind() == reflect.Pointer:
		requireFilled(t, name, v.Elem())
	case v.Kind() == reflect.Slice:
		requireFilled(t, name, v.Index(0))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	}
}

func answers() []protocol.PeerAnswer {
	return []protocol.PeerAnswer{
		{Reply: &protocol.PeerHeartbeatReply{Leader: true, Term: 7, SentAt: time.Minute, Shards: []int{0, 3}, HealthyPeers: 2}},
		{},
	}
}
