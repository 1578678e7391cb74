package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

func chaos(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	cfg.setNodes(3)
	cfg.ReportS, cfg.LeaseS, cfg.CancelS = 0.8, 8, 16
	cfg.Teams = []Team{{"sakhli", 8, 20}, {"ubani", 8, 24}, {"mtsvane", 8, 24}, {"kari", 8, 0}}
	cfg.Capacity = 20
	if os.Getenv("SITE") == "repechage" {
		cfg.Store = StoreLimits{200, 20, 4, 8}
		cfg.CloudRPS, cfg.ListLagS = 10, 10
	}
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 90
	}
	gap, _ := strconv.Atoi(os.Getenv("GAP"))
	if gap == 0 {
		gap = 300
	}
	quiet, _ := strconv.Atoi(os.Getenv("QUIET"))
	if quiet == 0 {
		quiet = 15
	}
	rnd := rand.New(rand.NewSource(seed))
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(30*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		end := time.Now().Add(time.Duration(secs) * time.Second)
		go func() {
			n := 0
			var prev []string
			for time.Now().Before(end.Add(-time.Duration(quiet) * time.Second)) {
				n++
				j := &Job{ID: fmt.Sprintf("run-%06d", n), Lane: "digest-build", Crew: c.cfg.Teams[rnd.Intn(4)].Name, Shape: "sweep", Rank: []string{"critical", "urgent", "normal", "best_effort"}[rnd.Intn(4)],
					Pieces: 1 + rnd.Intn(5), VCPUs: float64(1 + rnd.Intn(3)), RAM: 2, Bundle: "img-" + itoa(rnd.Intn(3)), SizeGB: 0.2, Loaner: rnd.Intn(2) == 0, GuessS: 4, run: time.Duration(500+rnd.Intn(6000)) * time.Millisecond}
				if rnd.Intn(4) == 0 {
					j.Shape, j.GuessS, j.Loaner = "standing", 0, false
					j.Lane = "board-live"
				}
				switch rnd.Intn(6) {
				case 0:
					j.Spread = true
				case 1:
					j.Togeth = true
				}
				if j.Shape == "sweep" && len(prev) > 0 && rnd.Intn(3) == 0 {
					j.WaitsOn = []string{prev[rnd.Intn(len(prev))]}
				}
				cancel := rnd.Intn(3) == 0 || j.Shape == "standing"
				after := time.Duration(rnd.Intn(9000)) * time.Millisecond
				k.Add(j)
				go func() {
					if !k.SubmitUntil(j) {
						return
					}
					if j.Shape == "sweep" {
						k.mu.Lock()
						prev = append(prev, j.ID)
						if len(prev) > 6 {
							prev = prev[1:]
						}
						k.mu.Unlock()
					}
					go func() {
						for time.Now().Before(end) {
							k.Poll(j, rand.Intn(len(c.nodes)))
							time.Sleep(time.Duration(200+rand.Intn(800)) * time.Millisecond)
							if j.final != "" && rand.Intn(30) == 0 {
								return
							}
						}
					}()
					if rand.Intn(3) == 0 {
						k.Submit(j, rand.Intn(len(c.nodes)))
					}
					if cancel {
						time.Sleep(after)
						for time.Now().Before(end) {
							if k.Cancel(j, rand.Intn(len(c.nodes))) != "" {
								break
							}
							time.Sleep(time.Second)
						}
					}
				}()
				time.Sleep(time.Duration(gap+rnd.Intn(3*gap)) * time.Millisecond)
			}
		}()
		if share, _ := strconv.Atoi(os.Getenv("SHARE")); share > 0 {
			for _, n := range c.nodes {
				go n.Throttle(share, end)
			}
		}
		time.Sleep(8 * time.Second)
		r2 := rand.New(rand.NewSource(seed + 1))
		for trouble && time.Now().Before(end.Add(-time.Duration(quiet+15)*time.Second)) {
			dur := time.Duration(1000+r2.Intn(9000)) * time.Millisecond
			node := r2.Intn(len(c.nodes))
			if r2.Intn(2) == 0 {
				if l := c.Leader(); l >= 0 {
					node = l
				}
			} else if r2.Intn(2) == 0 {
				if h := c.Holder(0); h >= 0 {
					node = h
				}
			}
			n := c.nodes[node]
			workers := c.cloud.Workers()
			some := func(f func(w *Worker, on bool)) {
				var hit []*Worker
				for _, w := range workers {
					if r2.Intn(3) == 0 {
						hit = append(hit, w)
						f(w, true)
					}
				}
				time.AfterFunc(dur, func() {
					for _, w := range hit {
						f(w, false)
					}
				})
			}
			lock := func(w *Worker, f func()) { w.mu.Lock(); f(); w.mu.Unlock() }
			switch kind := r2.Intn(23); kind {
			case 0:
				n.Kill()
				time.AfterFunc(dur/4, n.Start)
			case 1:
				n.Signal(syscall.SIGSTOP)
				time.AfterFunc(dur, func() { n.Signal(syscall.SIGCONT) })
			case 2:
				c.store.SetOutage(true)
				time.AfterFunc(dur, func() { c.store.SetOutage(false) })
			case 3:
				c.store.Refuse(node, true)
				time.AfterFunc(dur, func() { c.store.Refuse(node, false) })
			case 4:
				c.store.Cut(node, true)
				c.CutPeers(node, true)
				time.AfterFunc(dur, func() { c.store.Cut(node, false); c.CutPeers(node, false) })
			case 5:
				c.CutPeers(node, true)
				time.AfterFunc(dur, func() { c.CutPeers(node, false) })
			case 6:
				for _, o := range c.nodes {
					o.Kill()
				}
				for i, o := range c.nodes {
					time.AfterFunc(time.Duration(r2.Intn(3000)+100*i)*time.Millisecond, o.Start)
				}
			case 7:
				some(func(w *Worker, on bool) { w.Hang(on) })
			case 8:
				some(func(w *Worker, on bool) {
					lock(w, func() { w.mute = on; c.rec.Log("fault worker %s mute=%v", w.id, on) })
				})
			case 9:
				some(func(w *Worker, on bool) {
					lock(w, func() { w.deaf = on; c.rec.Log("fault worker %s deaf=%v", w.id, on) })
				})
			case 10:
				c.store.mu.Lock()
				c.store.lateRate = 0.3
				c.store.mu.Unlock()
				c.rec.Log("fault late writes")
				time.AfterFunc(dur, func() { c.store.mu.Lock(); c.store.lateRate = 0; c.store.mu.Unlock() })
			case 11:
				c.store.mu.Lock()
				c.store.lostRate = 0.3
				c.store.mu.Unlock()
				c.rec.Log("fault lost answers")
				time.AfterFunc(dur, func() { c.store.mu.Lock(); c.store.lostRate = 0; c.store.mu.Unlock() })
			case 12:
				if len(workers) > 0 {
					workers[r2.Intn(len(workers))].Die("crash")
				}
			case 18:
				n.Signal(syscall.SIGTERM)
				time.AfterFunc(dur, func() { n.Kill(); n.Start() })
			case 19:
				c.RefusePeers(node, true)
				time.AfterFunc(dur, func() { c.RefusePeers(node, false) })
			case 20:
				for _, w := range workers {
					lock(w, func() { w.cutN[node] = true })
				}
				c.rec.Log("fault reports do not reach node %d", node)
				time.AfterFunc(2*dur, func() {
					for _, w := range c.cloud.Workers() {
						lock(w, func() { delete(w.cutN, node) })
					}
				})
			case 21: // a zone is cut off with the controller
				var hit []*Worker
				for _, w := range workers {
					if w.yard == "mtkvari" || w.yard == "batumi" {
						hit = append(hit, w)
					}
				}
				for _, w := range hit {
					lock(w, func() {
						for i := range c.nodes {
							if i != node {
								w.cutN[i] = true
							}
						}
					})
				}
				c.store.Cut(node, true)
				c.CutPeers(node, true)
				time.AfterFunc(2*dur, func() {
					c.store.Cut(node, false)
					c.CutPeers(node, false)
					for _, w := range hit {
						lock(w, func() { w.cutN = map[int]bool{} })
					}
				})
			case 22: // the leaders change
				go func() {
					for range 6 {
						if l := c.Leader(); l >= 0 {
							c.nodes[l].Kill()
							time.Sleep(time.Duration(50+rand.Intn(2500)) * time.Millisecond)
							c.nodes[l].Start()
						}
						time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
					}
				}()
			case 14:
				some(func(w *Worker, on bool) {
					if on {
						w.Restart()
					}
				})
			case 15:
				some(func(w *Worker, on bool) {
					lock(w, func() {
						w.cmdLate = nil
						if on {
							w.cmdLate = func([]byte) time.Duration {
								if rand.Intn(2) == 0 {
									return 0
								}
								return time.Duration(2000+rand.Intn(14000)) * time.Millisecond
							}
						}
						c.rec.Log("fault worker %s late commands=%v", w.id, on)
					})
				})
			case 16:
				some(func(w *Worker, on bool) {
					lock(w, func() {
						w.onReport = nil
						if on {
							w.onReport = func(node int, body []byte) {
								time.AfterFunc(time.Duration(2000+rand.Intn(14000))*time.Millisecond, func() {
									c.check.call(rand.Intn(len(c.nodes)), "POST", "/hello", json.RawMessage(body), 4*time.Second)
								})
							}
						}
						c.rec.Log("fault worker %s late reports=%v", w.id, on)
					})
				})
			case 17:
				ws := workers
				go func() {
					for range 6 {
						for _, w := range ws {
							if rand.Intn(5) == 0 {
								w.Restart()
							}
						}
						time.Sleep(300 * time.Millisecond)
					}
				}()
			case 13:
				c.rec.Log("fault slow store for node %d", node)
				c.store.mu.Lock()
				c.store.delay[node] = func() time.Duration { return time.Duration(rand.Intn(1500)) * time.Millisecond }
				c.store.mu.Unlock()
				time.AfterFunc(dur, func() { c.store.mu.Lock(); delete(c.store.delay, node); c.store.mu.Unlock() })
			}
			time.Sleep(time.Duration(1000+r2.Intn(6000)) * time.Millisecond)
			for _, o := range c.nodes {
				_ = o
			}
		}
		// After the troubles: does any job wait beside room?
		since := map[string]time.Time{}
		for time.Now().Before(end) {
			time.Sleep(time.Second)
			k.mu.Lock()
			var waiting []*Job
			on := map[string]bool{}
			for p, ms := range k.running {
				if len(ms) > 0 {
					id, _ := splitPiece(p)
					on[id] = true
				}
			}
			for _, j := range k.jobs {
				ready := !j.accepted.IsZero() && j.asked.IsZero() && j.final == "" && !on[j.ID] && len(j.finished) < j.Pieces
				for _, d := range j.WaitsOn {
					ready = ready && len(k.jobs[d].finished) == k.jobs[d].Pieces
				}
				for _, t := range cfg.Teams {
					if t.Name == j.Crew && t.Max > 0 && k.used[j.Crew]+j.VCPUs > t.Max {
						ready = false
					}
				}
				if ready {
					waiting = append(waiting, j)
				} else {
					delete(since, j.ID)
				}
			}
			k.mu.Unlock()
			for _, j := range waiting {
				free := room(c, j)
				if len(free) == 0 {
					delete(since, j.ID)
					continue
				}
				if since[j.ID].IsZero() {
					since[j.ID] = time.Now()
				}
				if wait := time.Since(since[j.ID]); wait > 30*time.Second {
					c.rec.Log("%s %s %s has waited for %.0f s beside room on %v", j.ID, j.Crew, j.Shape, wait.Seconds(), free)
				}
				if wait := time.Since(since[j.ID]); wait > 90*time.Second && wait < 91*time.Second {
					c.rec.Broken("left_waiting", "%s waits beside %v", j.ID, free)
				}
			}
		}
		k.mu.Lock()
		done, cancelled, open, after := 0, 0, 0, 0
		for _, j := range k.jobs {
			switch j.final {
			case "done":
				done++
			case "withdrawn":
				cancelled++
			default:
				open++
				on := 0
				for p, ms := range k.running {
					if id, _ := splitPiece(p); id == j.ID && len(ms) > 0 {
						on++
					}
				}
				if !j.accepted.IsZero() {
					c.rec.Log("open: %s %s %s age %.0f s, %d running, %d of %d done, waits on %v, together %v spread %v", j.ID, j.Crew, j.Rank, time.Since(j.accepted).Seconds(), on, len(j.finished), j.Pieces, j.WaitsOn, j.Togeth, j.Spread)
				}
			}
			after += j.startsAfter
		}
		k.mu.Unlock()
		fmt.Printf("seed %d: starts %d, done %d, withdrawn %d, open %d, starts after cancel %d, broken %v\n", seed, k.starts, done, cancelled, open, after, c.rec.broken)
		if len(c.rec.broken) > 0 {
			return 1
		}
		return 0
	}
}
