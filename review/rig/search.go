package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["search"] = playSearch }

// playSearch plays random troubles; it is a search, not a case.
func playSearch(r *rig, trouble bool) (int, string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 9))
	if err := r.startAll(); err != nil {
		return exitNotRun, err.Error()
	}
	if !r.waitReady(20*time.Second, 0, 1) {
		return exitNotRun, "not ready"
	}
	end := time.Now().Add(58 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	number := 0
	next := func() int { mu.Lock(); defer mu.Unlock(); number++; return number }
	// users
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				n := next()
				shape, pieces, run := "sweep", 1+rand.IntN(12), 0.3+4*rand.Float64()
				if rand.IntN(5) == 0 {
					run = 12
				}
				if rand.IntN(5) == 0 {
					shape, pieces = "standing", 1+rand.IntN(3)
				}
				spec := newJob(n, shape, pieces, float64(1+rand.IntN(4)), run)
				spec.Same, spec.Loaner = rand.IntN(6) == 0, rand.IntN(2) == 0
				spec.Spread = !spec.Same && rand.IntN(6) == 0
				spec.Rank = []string{"critical", "urgent", "normal", "best_effort"}[rand.IntN(4)]
				if rand.IntN(3) == 0 {
					spec.Mark, spec.Stash = 1, 0.5
				}
				mu.Lock()
				if len(ids) > 0 && rand.IntN(3) == 0 {
					before := ids[len(ids)-1-rand.IntN(min(len(ids), 5))]
					if r.jobs[before].Shape == "sweep" {
						spec.WaitsOn = []string{before}
					}
				}
				mu.Unlock()
				status, _ := r.submit(spec, 30*time.Second)
				if status == 201 || status == 200 {
					mu.Lock()
					ids = append(ids, spec.ID)
					mu.Unlock()
					r.looks(spec.ID)
					if shape == "standing" || rand.IntN(4) == 0 {
						wg.Add(1)
						go func() {
							defer wg.Done()
							time.Sleep(time.Duration(rand.IntN(15000)) * time.Millisecond)
							r.cancel(spec.ID, 40*time.Second, rand.IntN(len(r.nodes)), rand.IntN(len(r.nodes)), 0, 1, 2)
							r.looks(spec.ID)
						}()
					}
				}
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			}
		}()
	}
	stop := make(chan struct{})
	go func() { // polls
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			mu.Lock()
			if len(ids) == 0 {
				mu.Unlock()
				continue
			}
			id := ids[rand.IntN(len(ids))]
			mu.Unlock()
			go r.look(rand.IntN(len(r.nodes)), id)
			r.mu.Lock()
			r.check.sweepCancelled()
			r.mu.Unlock()
		}
	}()
	if trouble {
		r.troubles(rnd, end)
	}
	wg.Wait()
	r.rec.add("rig: troubles over")
	// everything must end
	deadline := time.Now().Add(30 * time.Second)
	left := 0
	for time.Now().Before(deadline) {
		left = 0
		mu.Lock()
		list := append([]string{}, ids...)
		mu.Unlock()
		for _, id := range list {
			r.check.mu.Lock()
			final := r.check.final[id]
			r.check.mu.Unlock()
			if final == "" && r.jobs[id].Shape == "sweep" {
				r.look(0, id)
				left++
			}
		}
		if left == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	r.check.mu.Lock()
	defer r.check.mu.Unlock()
	summary := fmt.Sprintf("seed %d: %d jobs, %d starts, %d left, %d broken, %d notes, crashed %v", seed, len(ids), r.check.starts, left, len(r.check.broken), len(r.check.notes), r.crashed)
	if len(r.check.broken) > 0 || len(r.crashed) > 0 {
		return exitBroken, summary + "\n" + strings.Join(r.check.broken, "\n")
	}
	return exitHeld, summary + "\n" + strings.Join(r.check.notes, "\n")
}

func (r *rig) look(i int, id string) {
	sent := time.Now()
	status, answer := r.ask(i, "GET", "/submissions/"+id, "")
	r.check.polled(id, sent, status, answer)
}

// looks asks at all controllers at once.
func (r *rig) looks(id string) {
	var wg sync.WaitGroup
	for i := range r.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.look(i, id)
			sent := time.Now()
			r.check.mu.Lock()
			final := r.check.final[id]
			r.check.mu.Unlock()
			status, answer := r.ask(i, "POST", "/submissions", encode(r.jobs[id]))
			_ = sent
			if status == 200 && final != "" && stageOf(answer) != final {
				r.check.told(id, stageOf(answer))
			}
			if status == 400 || status == 422 || status == 201 {
				r.check.mu.Lock()
				r.check.fail("forgotten: repeated %s gets %d", id, status)
				r.check.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

func (r *rig) troubles(rnd *rand.Rand, end time.Time) {
	time.Sleep(8 * time.Second)
	var wg sync.WaitGroup
	busy := make([]sync.Mutex, len(r.nodes))
	for time.Now().Before(end.Add(-12 * time.Second)) {
		i := rnd.IntN(len(r.nodes))
		d := time.Duration(500+rnd.IntN(8000)) * time.Millisecond
		kind := rnd.IntN(17)
		do := func(f func()) { wg.Add(1); go func() { defer wg.Done(); f() }() }
		r.rec.add("rig: trouble %d at %d for %v", kind, i, d)
		workers := r.cloud.workers()
		switch kind {
		case 0, 1:
			do(func() {
				busy[i].Lock()
				defer busy[i].Unlock()
				r.end(i, syscall.SIGKILL)
				time.Sleep(min(d, 3*time.Second) / 2)
				_ = r.startNode(i)
			})
		case 2, 3:
			do(func() {
				busy[i].Lock()
				defer busy[i].Unlock()
				r.end(i, syscall.SIGTERM)
				_ = r.startNode(i)
			})
		case 4, 5:
			do(func() {
				busy[i].Lock()
				defer busy[i].Unlock()
				r.signal(i, syscall.SIGSTOP)
				time.Sleep(d)
				r.signal(i, syscall.SIGCONT)
			})
		case 6:
			r.store.setFault(i, linkFault{refuse: true})
			do(func() { time.Sleep(d); r.store.setFault(i, linkFault{}) })
		case 7:
			r.store.setFault(i, linkFault{cut: true})
			r.cutPeers(i, true)
			do(func() { time.Sleep(d); r.store.setFault(i, linkFault{}); r.cutPeers(i, false) })
		case 8:
			r.store.setFault(i, linkFault{delay: time.Duration(rnd.IntN(900)) * time.Millisecond})
			do(func() { time.Sleep(d); r.store.setFault(i, linkFault{}) })
		case 9:
			r.store.setOutage(true)
			do(func() { time.Sleep(d); r.store.setOutage(false) })
		case 10:
			r.cutPeers(i, true)
			do(func() { time.Sleep(d); r.cutPeers(i, false) })
		case 11:
			for pair, link := range r.links {
				if pair[0] == i {
					link.set(false, true)
				}
			}
			do(func() {
				time.Sleep(d)
				for pair, link := range r.links {
					if pair[0] == i {
						link.set(false, false)
					}
				}
			})
		case 15, 16:
			r.store.mu.Lock()
			r.store.lateShare, r.store.lostShare = 0.2*rnd.Float64(), 0.2*rnd.Float64()
			r.store.mu.Unlock()
			do(func() {
				time.Sleep(d)
				r.store.mu.Lock()
				r.store.lateShare, r.store.lostShare = 0, 0
				r.store.mu.Unlock()
			})
		case 12, 13, 14:
			if len(workers) == 0 {
				continue
			}
			w := workers[rnd.IntN(len(workers))]
			r.mu.Lock()
			switch kind {
			case 12:
				w.deaf = true
			case 13:
				w.frozen = time.Now().Add(d)
			case 14:
				w.commandLag = d / 2
			}
			r.mu.Unlock()
			do(func() {
				time.Sleep(2 * d)
				r.mu.Lock()
				w.deaf, w.commandLag = false, 0
				r.mu.Unlock()
			})
		}
		time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
	}
	wg.Wait()
	for i := range r.nodes {
		r.store.setFault(i, linkFault{})
		r.cutPeers(i, false)
	}
	r.store.setOutage(false)
}
