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

// TestVersionsReadEachOther: each version understands of the other's records and
// messages what the other does.
func TestVersionsReadEachOther(t *testing.T) {
	r := buildReaders(t)
	t.Run("production's", func(t *testing.T) { r.compare(t, "testdata/production") })
	t.Run("ours", func(t *testing.T) { r.compare(t, recordOurDay(t)) })
}

// recordOurDay plays the day that production recorded with this version, with pipelines in
// it and announced limits, and returns a folder with what lies in the store at its end and
// with messages of every kind.
func recordOurDay(t *testing.T) string {
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
	write(t, folder, recordsFile, encodeRecords(t, result.Records))
	write(t, folder, requestsFile, encodeMessages(t, wireRequests(t)...))
	write(t, folder, answersFile, encodeMessages(t, wireAnswers()...))
	return folder
}

// encodeRecords writes items a line each. One of them must be of a job that depends on
// others, which the older version does not know of.
func encodeRecords(t *testing.T, items []protocol.KeyValue) []byte {
	t.Helper()
	var records bytes.Buffer
	encoder := json.NewEncoder(&records)
	dependent := false
	for _, item := range items {
		dependent = dependent || strings.Contains(string(item.Value), `"waitsOn":["run-`)
		if err := encoder.Encode(item); err != nil {
			t.Fatal(err)
		}
	}
	if !dependent {
		t.Error("no job of the recorded day depends on others")
	}
	return records.Bytes()
}

// encodeMessages encodes messages as they go over one connection.
func encodeMessages[T any](t *testing.T, messages ...T) []byte {
	t.Helper()
	var link bytes.Buffer
	encoder := gob.NewEncoder(&link)
	for _, message := range messages {
		if err := encoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	return link.Bytes()
}
