package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is a type of machine as the cloud describes it.
type machineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	RAM         float64  `json:"ramGb"`
	Cache       float64  `json:"cacheGb"`
	Fetch       float64  `json:"fetchGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	Boot        float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

// cloud is a stand-in for the cloud of PROTOCOL. Its machines boot within two seconds.
type cloud struct {
	mu       sync.Mutex
	rig      *rig
	types    []machineType
	machines map[string]*hostEntry
	asks     map[string][]string
	last     int
	requests bucket
	lag      time.Duration
	outage   bool
	capacity int // machines that may exist at the same time
	boot     time.Duration
}

type hostEntry struct {
	name    string
	kind    *machineType
	zone    string
	spot    bool
	created time.Time
	running time.Time
	gone    time.Time
	worker  *worker
}

func (c *cloud) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.outage {
			reply(w, 503, `{"error":"trouble"}`)
			return
		}
		if !c.requests.take(1) {
			reply(w, 429, `{"error":"too many"}`)
			return
		}
		switch {
		case r.URL.Path == "/flavors":
			reply(w, 200, encode(map[string]any{"builds": c.types}))
		case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
			c.list(w, r)
		case r.URL.Path == "/hosts":
			c.rent(w, r)
		case r.URL.Path == "/hosts/delete":
			c.remove(w, r)
		default:
			reply(w, 400, `{"error":"malformed"}`)
		}
	})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		ID      string  `json:"id"`
		Address string  `json:"address"`
		Build   string  `json:"build"`
		Yard    string  `json:"yard"`
		Loaner  bool    `json:"loaner"`
		Stage   string  `json:"stage"`
		Age     float64 `json:"ageS"`
	}
	at := time.Now().Add(-c.lag)
	var names []string
	for name, m := range c.machines {
		if m.created.Before(at) && (m.gone.IsZero() || m.gone.After(at)) && name > r.URL.Query().Get("from") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	more := len(names) > most
	names = names[:min(len(names), most)]
	entries := []entry{}
	for _, name := range names {
		m := c.machines[name]
		stage := "running"
		if m.running.After(at) {
			stage = "booting"
		}
		entries = append(entries, entry{name, m.worker.address, m.kind.Name, m.zone, m.spot, stage, at.Sub(m.created).Seconds()})
	}
	reply(w, 200, encode(map[string]any{"hosts": entries, "more": more}))
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Ask    string `json:"ask"`
		Build  string `json:"build"`
		Yard   string `json:"yard"`
		Loaner bool   `json:"loaner"`
		Count  int    `json:"count"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Count < 1 || body.Count > 50 || body.Ask == "" {
		reply(w, 400, `{"error":"malformed"}`)
		return
	}
	if names, ok := c.asks[body.Ask]; ok {
		reply(w, 200, encode(map[string]any{"hosts": names}))
		return
	}
	var kind *machineType
	for i := range c.types {
		if c.types[i].Name == body.Build {
			kind = &c.types[i]
		}
	}
	alive := 0
	for _, m := range c.machines {
		if m.gone.IsZero() {
			alive++
		}
	}
	count := min(body.Count, c.capacity-alive)
	if kind == nil || count <= 0 {
		reply(w, 503, `{"error":"no capacity"}`)
		return
	}
	names := []string{}
	for range count {
		c.last++
		name := fmt.Sprintf("m-%06d", c.last)
		boot := c.boot + time.Duration(rand.Int64N(int64(500*time.Millisecond)))
		m := &hostEntry{name: name, kind: kind, zone: body.Yard, spot: body.Loaner, created: time.Now(), running: time.Now().Add(boot)}
		m.worker = newWorker(c.rig, m)
		c.machines[name] = m
		names = append(names, name)
		time.AfterFunc(boot, m.worker.start)
	}
	c.asks[body.Ask] = names
	c.rig.rec.add("cloud: rented %v as %s in %s, spot %v", names, body.Build, body.Yard, body.Loaner)
	reply(w, 200, encode(map[string]any{"hosts": names}))
}

func (c *cloud) remove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Hosts) > 100 {
		reply(w, 400, `{"error":"malformed"}`)
		return
	}
	for _, name := range body.Hosts {
		if m := c.machines[name]; m != nil && m.gone.IsZero() {
			m.worker.stop()
			m.gone = time.Now()
			c.rig.rec.add("cloud: deleted %s", name)
		}
	}
	reply(w, 200, encode(map[string]any{"hosts": body.Hosts}))
}

// workers returns the workers of the machines that exist.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.gone.IsZero() {
			list = append(list, m.worker)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	return list
}

// deletedCount returns how many machines were deleted.
func (c *cloud) deletedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, m := range c.machines {
		if !m.gone.IsZero() {
			count++
		}
	}
	return count
}
