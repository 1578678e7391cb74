package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	RAM         float64  `json:"ramGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	mu       sync.Mutex
	c        *Cluster
	types    []MachineType
	boot     func() time.Duration
	machines map[string]*host
	answers  map[string][]string
	next     int
	capacity int
	lag      time.Duration
	history  []snapshot
}

type host struct {
	id, build, yard string
	loaner          bool
	born            time.Time
	worker          *Worker
	up              bool
}

type snapshot struct {
	at   time.Time
	list []m
}

func newCloud(c *Cluster) *Cloud {
	cl := &Cloud{c: c, types: c.cfg.Types, machines: map[string]*host{}, answers: map[string][]string{}, capacity: c.cfg.Capacity,
		lag: time.Duration(c.cfg.ListLagS * float64(time.Second)), boot: c.cfg.Boot}
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			cl.mu.Lock()
			cl.snap()
			cl.mu.Unlock()
		}
	}()
	return cl
}

func (cl *Cloud) snap() {
	var ids []string
	for id := range cl.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	list := []m{}
	now := time.Now()
	for _, id := range ids {
		h := cl.machines[id]
		stage := "booting"
		if h.up {
			stage = "running"
		}
		e := m{"id": id, "build": h.build, "yard": h.yard, "loaner": h.loaner, "stage": stage, "ageS": now.Sub(h.born).Seconds(), "address": h.worker.addr}
		list = append(list, e)
	}
	cl.history = append(cl.history, snapshot{now, list})
	if len(cl.history) > 200 {
		cl.history = cl.history[100:]
	}
}

// Serve serves one controller.
func (cl *Cloud) Serve() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	go http.Serve(l, http.HandlerFunc(cl.handle))
	return l.Addr().String()
}

func (cl *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(20 * time.Millisecond)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case r.URL.Path == "/flavors":
		reply(w, 200, m{"builds": cl.types})
	case r.URL.Path == "/hosts" && r.Method == "POST":
		var in struct {
			Ask, Build, Yard string
			Loaner           bool
			Count            int
		}
		json.Unmarshal(body, &in)
		if names, ok := cl.answers[in.Ask]; ok {
			reply(w, 200, m{"hosts": names})
			return
		}
		var t *MachineType
		for i := range cl.types {
			if cl.types[i].Name == in.Build {
				t = &cl.types[i]
			}
		}
		if t == nil || in.Count < 1 || in.Count > 50 {
			reply(w, 400, m{"error": "malformed"})
			return
		}
		var names []string
		for range in.Count {
			if len(cl.machines) >= cl.capacity || cl.c.cfg.Pools != nil && cl.count(in.Build, in.Yard, in.Loaner) >= cl.c.cfg.Pools(in.Build, in.Yard, in.Loaner) {
				break
			}
			names = append(names, cl.create(t, in.Yard, in.Loaner))
		}
		if len(names) == 0 {
			reply(w, 503, m{"error": "no capacity"})
			return
		}
		cl.answers[in.Ask] = names
		reply(w, 200, m{"hosts": names})
	case r.URL.Path == "/hosts/delete":
		var in struct{ Hosts []string }
		json.Unmarshal(body, &in)
		for _, id := range in.Hosts {
			if h := cl.machines[id]; h != nil {
				delete(cl.machines, id)
				h.worker.Die("deleted")
			}
		}
		reply(w, 200, m{})
	case r.URL.Path == "/hosts":
		from := r.URL.Query().Get("from")
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		if most <= 0 {
			most = 500
		}
		var list []m
		cutoff := time.Now().Add(-cl.lag)
		for i := len(cl.history) - 1; i >= 0; i-- {
			if cl.history[i].at.Before(cutoff) {
				list = cl.history[i].list
				break
			}
		}
		out := []m{}
		more := false
		for _, e := range list {
			if e["id"].(string) > from {
				if len(out) >= most {
					more = true
					break
				}
				out = append(out, e)
			}
		}
		reply(w, 200, m{"hosts": out, "more": more})
	default:
		reply(w, 400, m{"error": "malformed"})
	}
}

func (cl *Cloud) create(t *MachineType, yard string, loaner bool) string {
	id := fmt.Sprintf("m-%06d", cl.next)
	cl.next++
	h := &host{id: id, build: t.Name, yard: yard, loaner: loaner, born: time.Now()}
	h.worker = newWorker(cl.c, id, t, yard, loaner)
	cl.machines[id] = h
	cl.c.rec.Log("cloud creates %s %s %s loaner=%v", id, t.Name, yard, loaner)
	time.AfterFunc(cl.boot(), func() {
		cl.mu.Lock()
		gone := cl.machines[id] != h
		h.up = true
		cl.mu.Unlock()
		if !gone {
			h.worker.Start()
		}
	})
	return id
}

// Workers lists the workers that are up.
func (cl *Cloud) Workers() (list []*Worker) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, h := range cl.machines {
		if h.up {
			list = append(list, h.worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// count counts the machines of a type, zone and kind.
func (cl *Cloud) count(build, yard string, loaner bool) (n int) {
	for _, h := range cl.machines {
		if h.build == build && h.yard == yard && h.loaner == loaner {
			n++
		}
	}
	return n
}
