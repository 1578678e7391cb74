// Command rig plays the cases of the second review: real controllers against stand-ins of the
// state service, the cloud, the workers, the users and the links between controllers.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// ezo is the small deployment of Ezo Boards.
func ezo() Config {
	zones := []string{"batumi", "isani", "mtkvari", "vake"}
	return Config{
		Nodes: 3, NodeZone: []string{"mtkvari", "mtkvari", "mtkvari"}, Zones: zones,
		Teams: []Team{{"sakhli", 64, 160}, {"ubani", 56, 176}, {"mtsvane", 64, 176}, {"kari", 56, 136}},
		Types: []MachineType{
			{Name: "kvari-small", CPUs: 4, RAM: 32, CacheGB: 35, FetchGBPerS: 0.5, Hourly: 0.36, MarketPrice: 0.13, BootS: 35, Yards: zones},
			{Name: "kvari-large", CPUs: 32, RAM: 256, CacheGB: 40, FetchGBPerS: 0.5, Hourly: 2.67, MarketPrice: 0.92, BootS: 30, Yards: zones},
		},
		ReportS: 3, LeaseS: 30, CancelS: 60,
		Store: StoreLimits{200, 80, 8, 32}, CloudRPS: 4, ListLagS: 5, Capacity: 32,
		Boot: func() time.Duration { return time.Duration(1000+rand.Intn(1000)) * time.Millisecond },
	}
}

// setNodes sets the number of controllers; NODES overrides it. All are in one zone.
func (c *Config) setNodes(n int) {
	if given, _ := strconv.Atoi(os.Getenv("NODES")); given > 0 {
		n = given
	}
	c.Nodes, c.NodeZone = n, nil
	for range n {
		c.NodeZone = append(c.NodeZone, "mtkvari")
	}
}

// cases are the cases by name: each returns the deployment and a function that plays it.
var cases = map[string]func(trouble bool) (Config, func(c *Cluster) int){}

func main() { os.Exit(run()) }

// run plays the case that the command line names and returns the exit code.
func run() (code int) {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		return 2
	}
	defer func() {
		if f, cannot := recover().(failure); cannot {
			fmt.Println("rig:", f.cause)
			code = 2
		}
	}()
	cfg, play := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	cfg.LogLevel = os.Getenv("LOG_LEVEL")
	c := newCluster(cfg, os.Args[2])
	defer c.Close()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	played := make(chan int, 1)
	go c.check.watch()
	for _, n := range c.nodes {
		n.Start()
	}
	go func() { played <- play(c) }()
	select {
	case code = <-played:
	case <-ends:
		code = 2
	}
	if dir := os.Getenv("LOGS"); dir != "" {
		c.CopyLogs(dir)
	}
	c.rec.Log("result %d", code)
	return code
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, cond func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if cond() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
