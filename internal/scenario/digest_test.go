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

// updateDigests writes the digests of the runs played instead of comparing them:
//
//	go test ./internal/scenario -update-digests
var updateDigests = flag.Bool("update-digests", false, "record the digests of the scenarios played")

const digestFile = "testdata/digests.txt"

// digests are the recorded digests of scenarios and random days by the name of their
// test: what controllers sent, and when. A change that is meant to leave behaviour as it
// is leaves them as they are; one that is not says in its commit why they change.
var digests struct {
	sync.Mutex
	recorded map[string]string
	played   map[string]string
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
	digests.recorded, digests.played = map[string]string{}, map[string]string{}
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

// saveDigests puts the digests of what was played into the file, beside the others.
func saveDigests() error {
	maps.Copy(digests.recorded, digests.played)
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(digests.recorded)) {
		fmt.Fprintln(&text, name, digests.recorded[name])
	}
	return os.WriteFile(digestFile, text.Bytes(), 0o644)
}

// checkDigest compares what controllers sent in a run with what they sent when its
// digest was recorded.
func checkDigest(t *testing.T, result *Result) {
	t.Helper()
	digests.Lock()
	defer digests.Unlock()
	digests.played[t.Name()] = result.Digest
	if *updateDigests {
		return
	}
	switch recorded, known := digests.recorded[t.Name()]; {
	case !known:
		t.Errorf("no digest is recorded for this run; it is %s", result.Digest)
	case recorded != result.Digest:
		t.Errorf("controllers decided otherwise than recorded: digest %s, recorded %s", result.Digest, recorded)
	}
}
