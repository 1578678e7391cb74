package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["odd"] = odd }

func odd(_ bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	pieces, _ := strconv.Atoi(os.Getenv("PIECES"))
	cpus, _ := strconv.ParseFloat(os.Getenv("CPUS"), 64)
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(30*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		j := k.Add(&Job{ID: "run-000001", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: pieces, VCPUs: cpus, RAM: 0.1, Bundle: "img", SizeGB: 0.2, Loaner: true, GuessS: 1, run: time.Second})
		k.SubmitUntil(j)
		small := k.Add(&Job{ID: "run-000002", Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 1, RAM: 1, Bundle: "img", SizeGB: 0.2, Loaner: true, GuessS: 1, run: time.Second})
		k.SubmitUntil(small)
		end := time.Now().Add(100 * time.Second)
		most := 0.0
		for time.Now().Before(end) && j.final == "" {
			for i, n := range c.nodes {
				r := n.RSS()
				most = max(most, r)
				t := time.Now()
				st := k.Poll(j, i)
				c.rec.Log("node %d rss %.0f MB, poll %s in %.3f", i, r, st, time.Since(t).Seconds())
			}
			k.Poll(small, 0)
			time.Sleep(time.Second)
		}
		fmt.Printf("pieces %d cpus %.3f: done %d of %d, final %q small %q, most RSS %.0f MB, broken %v\n", pieces, cpus, len(j.finished), pieces, j.final, small.final, most, c.rec.broken)
		return 0
	}
}
