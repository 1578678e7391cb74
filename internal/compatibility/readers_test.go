package compatibility

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	root = "../.."
	// readerPackage is where the reader is in the sources, from their root.
	readerPackage = "internal/compatibility/reader"
)

// readers are the programs that print what each version understands.
type readers struct{ ours, production string }

// buildReaders builds the reader in these sources and in those of the version in
// production, taken from the repository's history. A test that needs it fails where
// that can't be done: it must never pass over what it is there to check.
func buildReaders(t *testing.T) readers {
	t.Helper()
	sources := extractProduction(t, productionCommit(t))
	if err := os.CopyFS(filepath.Join(sources, readerPackage), os.DirFS(filepath.Join(root, readerPackage))); err != nil {
		t.Fatal(err)
	}
	older, err := os.ReadFile("testdata/production/records.go.txt")
	if err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(sources, readerPackage), "records.go", older)
	return readers{ours: buildReader(t, root), production: buildReader(t, sources)}
}

// productionCommit is the version in production, by deploy/service.toml.
func productionCommit(t *testing.T) string {
	t.Helper()
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/service.toml names no version in production")
	}
	return string(found[1])
}

// extractProduction puts the sources of a commit into a folder of their own.
func extractProduction(t *testing.T, commit string) string {
	t.Helper()
	sources := filepath.Join(t.TempDir(), "production")
	if err := os.Mkdir(sources, 0o755); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "-C", root, "archive", commit)
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
	return sources
}

// buildReader builds the reader in some sources and returns the program.
func buildReader(t *testing.T, sources string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "reader")
	build := exec.Command("go", "build", "-o", program, "./"+readerPackage)
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the reader in %s: %v: %s", sources, err, out)
	}
	return program
}

// The files of a folder that a reader reads.
const (
	recordsFile  = "records.jsonl" // an item of the key-value store a line
	requestsFile = "requests.gob"  // messages as they go over one connection
	answersFile  = "answers.gob"
)

// read is what a reader prints of a folder with records and messages.
func read(t *testing.T, program, folder string) string {
	t.Helper()
	reader := exec.Command(program, filepath.Join(folder, recordsFile), filepath.Join(folder, requestsFile), filepath.Join(folder, answersFile))
	var complaints bytes.Buffer
	reader.Stderr = &complaints
	out, err := reader.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, complaints.String())
	}
	return string(out)
}

func write(t *testing.T, folder, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// notUnderstood begins what a reader prints of a record that it can't decode.
var notUnderstood = regexp.MustCompile("(?m)^not understood.*$")

// mustBePrinted is what a day must hold, so that the comparison says something of each
// kind of record and message.
var mustBePrinted = []string{"final run-", "job run-", "machine m-", "grant 0", "liveness", "type ", `"Heartbeat":{`, `"Cancelled":["run-`, `"Reply":{`}

// compare fails unless both versions understand the same of a folder, and all of it.
func (r readers) compare(t *testing.T, folder string) {
	t.Helper()
	ours, theirs := read(t, r.ours, folder), read(t, r.production, folder)
	if strings.Contains(ours+theirs, "not understood") {
		t.Errorf("a record is not understood:\n%s", notUnderstood.FindAllString(ours+theirs, -1))
	}
	requireEqualLines(t, ours, theirs)
	for _, kind := range mustBePrinted {
		if !strings.Contains(ours, kind) {
			t.Errorf("the recorded day has nothing of %q, so the test says nothing of it", kind)
		}
	}
}

// requireEqualLines fails with the first line in which the versions differ.
func requireEqualLines(t *testing.T, ours, theirs string) {
	t.Helper()
	if ours == theirs {
		return
	}
	ourLines, theirLines := strings.Split(ours, "\n"), strings.Split(theirs, "\n")
	for i := range min(len(ourLines), len(theirLines)) {
		if ourLines[i] != theirLines[i] {
			t.Fatalf("this version understands\n%s\nproduction\n%s", ourLines[i], theirLines[i])
		}
	}
	t.Fatalf("this version prints %d lines, production %d", len(ourLines), len(theirLines))
}
