// Command reader prints what a version of rockrun understands of records and of messages
// between controllers. The compatibility tests build it in the sources of two versions
// and compare what they print. This file is the same in both; records.go is the part
// that names a version's own packages and fields, and the older version has its own.
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

// maxShards is more than the controllers of any recorded day.
const maxShards = 16

// item is a key of the key-value store with its value, as the test writes it down.
type item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// records are what a version makes of the items that it is given.
type records interface {
	// apply takes in a record that every controller follows.
	apply(key string, value json.RawMessage, version uint64) error
	// final describes the record of a job that has ended.
	final(value json.RawMessage) string
	// lines describe all that is known: those of the cluster in a fixed order, those of
	// jobs and of machines in any.
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

// printRecords applies records, a JSON item a line, and prints what is known then.
func printRecords(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	known := newRecords()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var entry item
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return err
		}
		if id, ended := strings.CutPrefix(entry.Key, "f/"); ended {
			fmt.Println("final", id, known.final(entry.Value))
			continue
		}
		if err := known.apply(entry.Key, entry.Value, entry.Version); err != nil {
			fmt.Println("not understood:", entry.Key, err)
		}
	}
	cluster, jobs, machines := known.lines()
	slices.Sort(jobs)
	slices.Sort(machines)
	for _, line := range slices.Concat(cluster, jobs, machines) {
		fmt.Print(line)
	}
	return scanner.Err()
}

// printMessages decodes messages as they come over one connection. decode returns one
// as JSON under the names that it has on the link.
func printMessages(path string, decode func(*gob.Decoder) ([]byte, error)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for decoder := gob.NewDecoder(file); ; {
		text, err := decode(decoder)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		fmt.Println("message", string(text))
	}
}

// sortedJSON encodes a message with its fields in the order of their names, so that the
// order in which a version declares them does not matter.
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
