package scenario

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

// updateDigests records the digests of the scenarios that run, instead of comparing them:
//
//	go test ./internal/scenario -update-digests
var updateDigests = flag.Bool("update-digests", false, "record the digests of the scenarios that run instead of comparing them")

const digestFile = "testdata/digests.txt"

// digests holds the recorded digests of what controllers sent and when, keyed by the name of the
// test that runs the scenario. A change that preserves behaviour does not change them; the commit
// of any other change says why they change.
var digests struct {
	sync.Mutex
	recorded map[string]string
	current  map[string]string // in this test run
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := loadDigests(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if *updateDigests {
		if err := saveDigests(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

func loadDigests() error {
	digests.recorded, digests.current = map[string]string{}, map[string]string{}
	data, err := os.ReadFile(digestFile)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		name, digest, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok {
			return fmt.Errorf("%s: %q: no digest", digestFile, line)
		}
		digests.recorded[name] = digest
	}
	return nil
}

// saveDigests writes the digests of this test run to the file and preserves all others.
func saveDigests() error {
	maps.Copy(digests.recorded, digests.current)
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(digests.recorded)) {
		fmt.Fprintln(&text, name, digests.recorded[name])
	}
	return os.WriteFile(digestFile, text.Bytes(), 0o644)
}

// checkDigest compares the digest of a run with the recorded one. A difference means that
// controllers sent something else, or at another time, than when the digest was recorded.
func checkDigest(t *testing.T, result *Result) {
	t.Helper()
	digests.Lock()
	defer digests.Unlock()
	digests.current[t.Name()] = result.Digest
	if *updateDigests {
		return
	}
	switch recorded, known := digests.recorded[t.Name()]; {
	case !known:
		t.Errorf("no digest is recorded for this run, whose digest is %s", result.Digest)
	case recorded != result.Digest:
		t.Errorf("controllers sent other messages than recorded, or at other times: digest %s, recorded %s", result.Digest, recorded)
	}
}
