package main

import (
	"time"
)

func init() { cases["quota-split"] = quotaSplit }

func quotaSplit(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	cfg.setNodes(5)
	cfg.Pools = smallPools
	return cfg, func(c *Cluster) int {
		k := c.check
		if !granted(c) {
			return 2
		}
		// A long digest of another team runs all the time.
		long := k.Add(&Job{ID: "run-800000", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, Loaner: true, GuessS: 200, run: 200 * time.Second})
		if !k.SubmitUntil(long) {
			return 2
		}
		yard := "vake"
		arrivals(c, trouble, 6, func(j *Job) { j.Crew, j.Yard = "kari", &yard })
		time.Sleep(2 * time.Second)
		j := k.Add(&Job{ID: "run-900000", Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, Loaner: true, GuessS: 20, run: 5 * time.Second})
		if !k.SubmitUntil(j) {
			return 2
		}
		return leftWaiting(c, j, 136)
	}
}
