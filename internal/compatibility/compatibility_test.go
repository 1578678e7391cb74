package compatibility

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
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
	write(t, folder, "requests.gob", encodeAll(t, requests()...))
	write(t, folder, "answers.gob", encodeAll(t, answers()...))
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
		{Heartbeat: &protocol.Heartbeat{
			Node: "a", Incarnation: 1853070350746620529, SentAt: time.Minute, Term: 7, FreshFor: time.Second, Leaving: true,
			Machines: []protocol.MachineNote{{
				Name: "m-000001", Seen: true, Silent: time.Second, Tasks: 3, Faulty: true, Leaves: true, Unresponsive: true, Addr: "10.1.0.1:9000", Empty: 9,
			}},
			Orphans: []protocol.Report{{
				Machine: "m-000002", Address: "10.1.0.2:9000", Type: "small", Zone: "north", Spot: true, Session: 2, Seq: 3, Token: 4, NoticeS: &notice,
				Tasks: []protocol.TaskStatus{{Task: "run-1/0", Attempt: 5, State: protocol.TaskRunning}},
			}},
			Shares: 4, Keeps: []uint64{1, 2}, Heard: []time.Duration{-1, time.Second},
		}},
		{Cancelled: []string{"run-1", "run-2"}},
		{},
	}
}

func answers() []protocol.PeerAnswer {
	return []protocol.PeerAnswer{
		{Reply: &protocol.HeartbeatReply{Leader: true, Term: 7, SentAt: time.Minute, Shards: []int{0, 3}, HealthyPeers: 2}},
		{},
	}
}
