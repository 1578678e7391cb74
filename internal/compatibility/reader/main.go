// Command reader prints what a version of rockrun decodes from records and from messages
// between controllers. The compatibility tests build it in the sources of two versions and
// compare the outputs. Both versions use this file; records.go refers to the packages and fields
// of one version, so the version in production has its own records.go.
package main

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxShards exceeds the number of controllers in every recorded scenario.
const maxShards = 16

// item is an item of the key-value store in the JSON form that the tests write.
type item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// records holds the state that a version decodes from items.
type records interface {
	// apply applies a record that all controllers replicate.
	apply(key string, value json.RawMessage, version uint64) error
	// final returns a description of a job's final record.
	final(value json.RawMessage) string
	// lines returns descriptions of the decoded state: those of the cluster in a fixed order,
	// those of jobs and machines in any order.
	lines() (cluster, jobs, machines []string)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reader records.jsonl requests.gob answers.gob")
		os.Exit(2)
	}
	err := errors.Join(
		printRecords(os.Args[1]),
		printMessages(os.Args[2], decodeRequest),
		printMessages(os.Args[3], decodeAnswer),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// printRecords applies the records in a file with one JSON item per line, and prints the
// resulting state.
func printRecords(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	state := newRecords()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var entry item
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return err
		}
		if id, isFinal := strings.CutPrefix(entry.Key, "f/"); isFinal {
			fmt.Println("final", id, state.final(entry.Value))
			continue
		}
		if err := state.apply(entry.Key, entry.Value, entry.Version); err != nil {
			fmt.Println("apply failed:", entry.Key, err)
		}
	}
	cluster, jobs, machines := state.lines()
	slices.Sort(jobs)
	slices.Sort(machines)
	for _, line := range slices.Concat(cluster, jobs, machines) {
		fmt.Print(line)
	}
	return scanner.Err()
}

// printMessages prints the messages in a file, encoded as sent over one connection. decode
// reads one message and returns it as JSON with its wire names.
func printMessages(path string, decode func(*gob.Decoder) ([]byte, error)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for decoder := gob.NewDecoder(file); ; {
		message, err := decode(decoder)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("decode message in %s: %w", path, err)
		}
		fmt.Println("message", string(message))
	}
}

// sortedJSON encodes a message with its fields sorted by name, so that the output does not
// depend on the order in which a version declares the fields.
func sortedJSON(message any) ([]byte, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
