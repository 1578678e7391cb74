package main

import (
	"fmt"
	"math/rand"
	"os"
	"strings"
	"time"
)

func init() { cases["shrink"] = shrink }

// shrink restarts all controllers with lower limits announced, and then lowers them, while larger
// values are stored. OPS is the number of changes of a transaction, KB the size of a value.
func shrink(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	ops, kb := number("OPS", 10), float64(number("KB", 2))
	return cfg, func(c *Cluster) int {
		if !granted(c) {
			return 2
		}
		var jobs []*Job
		for i := range 20 {
			j := c.check.Add(&Job{ID: fmt.Sprintf("run-%06d", i), Lane: "digest-build", Crew: cfg.Teams[i%4].Name, Shape: "sweep", Rank: "normal", Pieces: 300 + 10*i,
				VCPUs: 0.01, RAM: 0.1, Bundle: "img", SizeGB: 0.2, Loaner: true, GuessS: 10, run: time.Duration(5+rand.Intn(25)) * time.Second})
			jobs = append(jobs, j)
			go c.check.SubmitUntil(j)
		}
		time.Sleep(25 * time.Second)
		c.announce(fmt.Sprintf("[cluster.state.next]\nvalue_kb = %.1f\ntxn_ops = %d\nwrite_rps = 56.0\n", kb, ops))
		if trouble {
			time.Sleep(time.Second)
			c.store.Lower(ops, kb, 56)
		}
		end := time.Now().Add(80 * time.Second)
		for time.Now().Before(end) && c.check.pollOpen(jobs) > 0 {
			time.Sleep(time.Second)
		}
		fmt.Printf("open %d, starts %d, broken %v\n", c.check.pollOpen(jobs), c.check.starts, c.rec.broken)
		return min(len(c.rec.broken), 1)
	}
}

// announce restarts all controllers with a table added to their settings.
func (c *Cluster) announce(next string) {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, n := range c.nodes {
		data, err := os.ReadFile(n.settings)
		must(err)
		must(os.WriteFile(n.settings, []byte(strings.Replace(string(data), "[cluster.cloud]", next+"\n[cluster.cloud]", 1)), 0o644))
		n.Start()
	}
}

// Lower lowers the limits of the store.
func (s *Store) Lower(ops int, kb, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Ops, s.limits.ValueKB, s.writes.rate = ops, kb, writes
	s.rec.Log("fault limits lowered to %d changes, %.1f KiB, %.0f writes a second", ops, kb, writes)
}

// pollOpen asks about all jobs that are not known to be over, and returns how many they are.
func (k *Checker) pollOpen(jobs []*Job) (open int) {
	for _, j := range jobs {
		if j.final != "" {
			continue
		}
		if k.Poll(j, rand.Intn(len(k.c.nodes))) != "done" {
			open++
		}
	}
	return open
}
