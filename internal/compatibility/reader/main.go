// Command reader prints what this version understands of records and of messages
// between controllers. The compatibility tests build it in the sources of two versions
// and compare what they print, so it uses nothing that the older one lacks.
package main

import (
	"bufio"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// mostShards is more than the controllers of any recorded day.
const mostShards = 16

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reader records.jsonl requests.gob answers.gob")
		os.Exit(2)
	}
	err := errors.Join(printRecords(os.Args[1]), printMessages[protocol.PeerRequest](os.Args[2]), printMessages[protocol.PeerAnswer](os.Args[3]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// printRecords applies records, a JSON item a line, and prints what the cache holds.
func printRecords(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	teams := []bookkeeping.Team{{Name: "red", CPUs: 64, CPUsMax: 128}, {Name: "blue", CPUs: 32, CPUsMax: 64}}
	cache := bookkeeping.NewCache(teams, mostShards)
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var it protocol.Item
		if err := json.Unmarshal(lines.Bytes(), &it); err != nil {
			return err
		}
		if id, final := strings.CutPrefix(it.Key, "f/"); final {
			f, err := bookkeeping.DecodeFinal(it.Value)
			fmt.Println("final", id, f.Stage, f.Done, err)
			continue
		}
		if err := cache.Apply(it.Key, it.Value, it.Version); err != nil {
			fmt.Println("not understood:", it.Key, err)
		}
	}
	printCache(cache)
	return lines.Err()
}

func printCache(c *bookkeeping.Cache) {
	fmt.Println("homes", c.Homes, "leader", c.Leader, "term", c.Term, "target", c.Target)
	for i := range c.Teams {
		fmt.Println("team", c.Teams[i].Name, c.Teams[i].Shares)
	}
	for i := range c.Grants {
		fmt.Println("grant", i, c.Grants[i])
	}
	for i := range c.Types {
		fmt.Println("type", c.Types[i])
	}
	for _, node := range slices.Sorted(maps.Keys(c.Liveness)) {
		fmt.Println("liveness", node, c.Liveness[node])
	}
	printSorted(func(add func(string)) {
		c.Jobs.All(func(_ int, j *bookkeeping.Job) {
			if knownByNameOnly(j) {
				return
			}
			add(fmt.Sprintln("job", j.ID, j.Class, j.Team, j.Kind, j.Priority, j.Tasks, j.CPUs, j.GPUs, j.MemoryGB, j.Image, j.ImageGB, j.Types, j.Zone,
				j.OneZone, j.Spread, j.Spot, j.EstimateS, j.CheckpointS, j.SaveS, j.DeadlineS, j.Version, j.AtMS, j.Home, j.Done, j.DoneN, j.Open(), j.Running()))
		})
	})
	printSorted(func(add func(string)) {
		c.Machines.All(func(_ int, m *bookkeeping.Machine) {
			var intents []string
			for ref, intent := range m.Intents {
				intents = append(intents, fmt.Sprint(c.Jobs.Get(ref.Job).ID, "/", ref.Task, "#", intent.Try, "@", intent.Page))
			}
			slices.Sort(intents)
			add(fmt.Sprintln("machine", m.Name, m.Block, m.Addr, m.Type, m.Zone, m.Spot, m.Shard, m.Token, m.Phase, m.Drain, m.Yield, m.AtMS, m.GoneMS, intents))
		})
	})
}

// knownByNameOnly reports whether a row has no record, no named task and no completed
// one behind it. This version keeps such rows for jobs that others wait for, which the
// older one doesn't know of; nothing is lost by leaving them out, as a job that one
// version has and the other has not is still printed by the first.
func knownByNameOnly(j *bookkeeping.Job) bool {
	return j.Over() && len(j.Intended) == 0 && j.DoneN == 0
}

func printSorted(collect func(add func(string))) {
	var lines []string
	collect(func(line string) { lines = append(lines, line) })
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Print(line)
	}
}

// printMessages decodes messages as they come over one connection.
func printMessages[T any](path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for decoder := gob.NewDecoder(file); ; {
		var message T
		if err := decoder.Decode(&message); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		text, err := json.Marshal(message)
		if err != nil {
			return err
		}
		fmt.Println("message", string(text))
	}
}
