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
	// readerPackage is the directory of the reader, relative to the root of the sources.
	readerPackage = "internal/compatibility/reader"
)

// readers holds the paths of the programs that print what each version decodes.
type readers struct{ current, production string }

// buildReaders builds the reader in these sources and in the sources of the version in
// production, which it extracts from the repository's history. It fails the test if that is
// not possible: a skipped test would leave the compatibility unchecked.
func buildReaders(t *testing.T) readers {
	t.Helper()
	sources := extractProduction(t, productionCommit(t))
	if err := os.CopyFS(filepath.Join(sources, readerPackage), os.DirFS(filepath.Join(root, readerPackage))); err != nil {
		t.Fatal(err)
	}
	recordsSource, err := os.ReadFile("testdata/production/records.go.txt")
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(sources, readerPackage), "records.go", recordsSource)
	return readers{current: buildReader(t, root), production: buildReader(t, sources)}
}

// productionCommit returns the commit of the version in production from deploy/service.toml.
func productionCommit(t *testing.T) string {
	t.Helper()
	settings, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(settings)
	if match == nil {
		t.Fatal(`deploy/service.toml: no line production = "COMMIT" with a commit of 40 hexadecimal digits`)
	}
	return string(match[1])
}

// extractProduction extracts the sources of a commit into a temporary directory and returns
// the directory.
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
	var stderr bytes.Buffer
	extract.Stdin, archive.Stderr, extract.Stderr = pipe, &stderr, &stderr
	if err := extract.Start(); err != nil {
		t.Fatal(err)
	}
	if err := archive.Run(); err != nil {
		t.Fatalf("archive the sources of the version in production: %v: %s", err, stderr.String())
	}
	if err := extract.Wait(); err != nil {
		t.Fatalf("extract the sources of the version in production: %v: %s", err, stderr.String())
	}
	return sources
}

// buildReader builds the reader in a source tree and returns the path of the program.
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

// Files in a data directory. The reader reads all of them.
const (
	recordsFile  = "records.jsonl" // one item of the key-value store per line
	requestsFile = "requests.gob"  // messages as sent over one connection
	answersFile  = "answers.gob"
)

// runReader returns what a reader prints for a directory with records and messages.
func runReader(t *testing.T, program, dir string) string {
	t.Helper()
	reader := exec.Command(program, filepath.Join(dir, recordsFile), filepath.Join(dir, requestsFile), filepath.Join(dir, answersFile))
	var stderr bytes.Buffer
	reader.Stderr = &stderr
	out, err := reader.Output()
	if err != nil {
		t.Fatalf("run %s on %s: %v: %s", program, dir, err, stderr.String())
	}
	return string(out)
}

func writeFile(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// applyFailure matches the line that a reader prints for a record that it cannot apply.
var applyFailure = regexp.MustCompile("(?m)^apply failed.*$")

// requiredOutput lists texts that the output of a reader must contain, so that the comparison
// covers each kind of record and message.
var requiredOutput = []string{"final run-", "job run-", "machine m-", "grant 0", "liveness", "type ", `"Heartbeat":{`, `"Cancelled":["run-`, `"Reply":{`}

// requireSameOutput fails the test unless both readers apply all records in a directory, print
// the same output for it, and cover each kind of record and message.
func (r readers) requireSameOutput(t *testing.T, dir string) {
	t.Helper()
	current, production := runReader(t, r.current, dir), runReader(t, r.production, dir)
	if strings.Contains(current+production, "apply failed") {
		t.Errorf("records that a version cannot apply:\n%s", applyFailure.FindAllString(current+production, -1))
	}
	requireEqualLines(t, current, production)
	for _, text := range requiredOutput {
		if !strings.Contains(current, text) {
			t.Errorf("reader output for %s lacks %q, so the comparison does not cover that kind of record or message", dir, text)
		}
	}
}

// requireEqualLines fails the test with the first line in which the outputs differ.
func requireEqualLines(t *testing.T, current, production string) {
	t.Helper()
	if current == production {
		return
	}
	currentLines, productionLines := strings.Split(current, "\n"), strings.Split(production, "\n")
	for i := range min(len(currentLines), len(productionLines)) {
		if currentLines[i] != productionLines[i] {
			t.Fatalf("this version prints\n%s\nproduction prints\n%s", currentLines[i], productionLines[i])
		}
	}
	t.Fatalf("this version prints %d lines, production prints %d", len(currentLines), len(productionLines))
}
