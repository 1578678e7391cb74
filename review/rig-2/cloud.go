package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	slices.Sort(ids)
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
		reply(w, http.StatusOK, m{"builds": cl.types})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		status, out := cl.rent(body)
		reply(w, status, out)
	case r.URL.Path == "/hosts/delete":
		cl.remove(body)
		reply(w, http.StatusOK, m{})
	case r.URL.Path == "/hosts":
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		reply(w, http.StatusOK, cl.page(r.URL.Query().Get("from"), most))
	default:
		reply(w, http.StatusBadRequest, m{"error": "malformed"})
	}
}

func (cl *Cloud) rent(body []byte) (int, m) {
	var in struct {
		Ask, Build, Yard string
		Loaner           bool
		Count            int
	}
	bad := json.Unmarshal(body, &in) != nil || in.Count < 1 || in.Count > 50
	if names, ok := cl.answers[in.Ask]; ok {
		return http.StatusOK, m{"hosts": names}
	}
	i := slices.IndexFunc(cl.types, func(t MachineType) bool { return t.Name == in.Build })
	if bad || i < 0 {
		return http.StatusBadRequest, m{"error": "malformed"}
	}
	var names []string
	for range in.Count {
		if cl.full(in.Build, in.Yard, in.Loaner) {
			break
		}
		names = append(names, cl.create(&cl.types[i], in.Yard, in.Loaner))
	}
	if len(names) == 0 {
		return http.StatusServiceUnavailable, m{"error": "no capacity"}
	}
	cl.answers[in.Ask] = names
	return http.StatusOK, m{"hosts": names}
}

// full reports whether the cloud has no more machines of a type, zone and kind.
func (cl *Cloud) full(build, yard string, loaner bool) bool {
	if len(cl.machines) >= cl.capacity {
		return true
	}
	pools := cl.c.cfg.Pools
	return pools != nil && cl.count(build, yard, loaner) >= pools(build)
}

func (cl *Cloud) remove(body []byte) {
	var in struct{ Hosts []string }
	if json.Unmarshal(body, &in) != nil {
		return
	}
	for _, id := range in.Hosts {
		if h := cl.machines[id]; h != nil {
			delete(cl.machines, id)
			h.worker.Die("deleted")
		}
	}
}

// page returns a page of the list as it was list_lag_s ago.
func (cl *Cloud) page(from string, most int) m {
	if most <= 0 {
		most = 500
	}
	var list []m
	cutoff := time.Now().Add(-cl.lag)
	for i := len(cl.history) - 1; i >= 0 && list == nil; i-- {
		if cl.history[i].at.Before(cutoff) {
			list = cl.history[i].list
		}
	}
	first := slices.IndexFunc(list, func(e m) bool { return fmt.Sprint(e["id"]) > from })
	if first < 0 {
		return m{"hosts": []m{}, "more": false}
	}
	list = list[first:]
	return m{"hosts": list[:min(most, len(list))], "more": len(list) > most}
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
	slices.SortFunc(list, func(a, b *Worker) int { return strings.Compare(a.id, b.id) })
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
