package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["shrink"] = shrink }

func shrink(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	ops, _ := strconv.Atoi(os.Getenv("OPS"))
	kb, _ := strconv.ParseFloat(os.Getenv("KB"), 64)
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(30*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		var jobs []*Job
		for i := range 20 {
			j := k.Add(&Job{ID: fmt.Sprintf("run-%06d", i), Lane: "digest-build", Crew: cfg.Teams[i%4].Name, Shape: "sweep", Rank: "normal", Pieces: 300 + 10*i, VCPUs: 0.01, RAM: 0.1, Bundle: "img", SizeGB: 0.2, Loaner: true, GuessS: 10, run: time.Duration(5+rand.Intn(25)) * time.Second})
			jobs = append(jobs, j)
			go k.SubmitUntil(j)
		}
		time.Sleep(25 * time.Second)
		for _, n := range c.nodes {
			n.Kill()
		}
		for _, n := range c.nodes {
			data, _ := os.ReadFile(n.settings)
			next := fmt.Sprintf("[cluster.state.next]\nvalue_kb = %.1f\ntxn_ops = %d\nwrite_rps = 56.0\n", kb, ops)
			os.WriteFile(n.settings, []byte(strings.Replace(string(data), "[cluster.cloud]", next+"\n[cluster.cloud]", 1)), 0o644)
			n.Start()
		}
		if trouble {
			time.Sleep(time.Second)
			c.store.mu.Lock()
			c.store.limits.Ops, c.store.limits.ValueKB = ops, kb
			c.store.writes.rate = 56
			c.store.mu.Unlock()
			c.rec.Log("fault limits lowered")
		}
		end := time.Now().Add(85 * time.Second)
		for time.Now().Before(end) {
			open := 0
			for _, j := range jobs {
				if j.final == "" {
					k.Poll(j, rand.Intn(3))
					open++
				}
			}
			if open == 0 {
				break
			}
			time.Sleep(time.Second)
		}
		open := 0
		for _, j := range jobs {
			if j.final == "" {
				open++
			}
		}
		fmt.Printf("open %d, starts %d, broken %v after %.0f s\n", open, k.starts, c.rec.broken, time.Since(c.rec.began).Seconds())
		return 0
	}
}
