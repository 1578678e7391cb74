package compatibility

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"rockrun/internal/protocol"
	"rockrun/internal/scenario"
)

// TestVersionsReadEachOthersData guards against an upgrade in which one version misreads records
// or messages of the other, for example because a renamed field is left empty. Both versions must
// decode the data that either version writes to the same values.
func TestVersionsReadEachOthersData(t *testing.T) {
	r := buildReaders(t)
	t.Run("written by production", func(t *testing.T) { r.requireSameOutput(t, "testdata/production") })
	t.Run("written by this version", func(t *testing.T) { r.requireSameOutput(t, writeCurrentData(t)) })
}

// writeCurrentData runs testdata/current.txtar with this version. It returns a directory with the
// records that are in the key-value store at the end, and with messages of every kind. The
// scenario is that of testdata/production with pipelines and announced lower limits added.
func writeCurrentData(t *testing.T) string {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/current.txtar")
	if err != nil {
		t.Fatal(err)
	}
	result, err := scenario.Run(archive, 1, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeFile(t, dir, recordsFile, encodeRecords(t, result.Records))
	writeFile(t, dir, requestsFile, encodeMessages(t, wireRequests(t)...))
	writeFile(t, dir, answersFile, encodeMessages(t, wireAnswers()...))
	return dir
}

// encodeRecords encodes items as JSON, one per line. It fails the test unless one of them is the
// record of a job that depends on others: the version in production does not know dependencies.
func encodeRecords(t *testing.T, items []protocol.KeyValue) []byte {
	t.Helper()
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	hasDependent := false
	for _, item := range items {
		hasDependent = hasDependent || strings.Contains(string(item.Value), `"waitsOn":["run-`)
		if err := encoder.Encode(item); err != nil {
			t.Fatal(err)
		}
	}
	if !hasDependent {
		t.Error("no record of a job with dependencies: the comparison does not cover them")
	}
	return buffer.Bytes()
}

// encodeMessages encodes messages as they are sent over one connection.
func encodeMessages[T any](t *testing.T, messages ...T) []byte {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, message := range messages {
		if err := encoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Bytes()
}
