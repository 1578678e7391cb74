package scenario

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// world is what a scenario's first file describes.
type world struct {
	cluster  config.Cluster
	options  config.Options
	nodes    int
	types    []protocol.MachineType
	capacity map[poolName]int
	zones    map[string]string // of controllers
	unaware  bool              // controllers don't know the limits to come
}

// declarations are the verbs of a world.
var declarations = map[string]func(w *world, line *statement){
	"controllers":      declareNodes,
	"agents":           declareWorkers,
	"store":            declareState,
	"announced-limits": declareNextState,
	"team":             declareTeam,
	"machine-type":     declareType,
	"capacity":         declareRoom,
	"controller-zone": func(w *world, line *statement) {
		w.zones[line.arg(0)] = line.arg(1)
	},
	"job-shards": func(w *world, line *statement) {
		w.options.JobShards = int(line.num("n", 0))
	},
}

func declareNodes(w *world, line *statement) {
	n, err := strconv.Atoi(line.arg(0))
	if err != nil {
		line.fail("%v", err)
	}
	w.nodes = n
}

func declareWorkers(w *world, line *statement) {
	w.cluster.Agents = config.Agents{HeartbeatSeconds: line.num("heartbeat", 3), LeaseSeconds: line.num("lease", 30), CancelSeconds: line.num("cancel", 60)}
}

func declareState(w *world, line *statement) {
	w.cluster.KVStore = config.KVStore{RequestsPerSecond: 200, WritesPerSecond: line.num("writes", 80), ValueKiB: line.num("value", 8), TransactionOperations: int(line.num("ops", 32))}
}

// declareNextState says what the state service will allow later. With unaware=1 the
// controllers' first processes have not been told, like those of a version that does
// not know the setting.
func declareNextState(w *world, line *statement) {
	writes, value, ops := line.num("writes", 80), line.num("value", 8), int(line.num("ops", 32))
	w.cluster.KVStore.Announced = &config.AnnouncedLimits{WritesPerSecond: &writes, ValueKiB: &value, TransactionOperations: &ops}
	w.unaware = line.num("unaware", 0) == 1
}

func declareTeam(w *world, line *statement) {
	w.cluster.Teams = append(w.cluster.Teams, config.Team{Name: line.arg(0), GuaranteedCPUs: line.num("cpus", 0), MaxCPUs: line.num("max", 0)})
}

func declareType(w *world, line *statement) {
	w.types = append(w.types, protocol.MachineType{
		Name: line.arg(0), CPUs: line.num("cpus", 4), MemoryGB: line.num("mem", 16), CacheGB: 100, FetchGBPS: line.num("fetch", 1),
		HourlyPrice: line.num("price", 1), HourlySpotPrice: line.num("spot", 0.3), BootSeconds: line.num("boot", 5),
	})
}

func declareRoom(w *world, line *statement) {
	pool := poolName{line.arg(0), line.arg(1), line.text("kind", "ordinary") == "spot"}
	w.capacity[pool] = int(line.num("count", 1))
	for i := range w.types {
		if t := &w.types[i]; t.Name == pool.typ && !slices.Contains(t.Zones, pool.zone) {
			t.Zones = append(t.Zones, pool.zone)
		}
	}
}

// buildWorld reads the world of a scenario and starts its controllers.
func buildWorld(declared []string, seed uint64, log io.Writer) (*sim, error) {
	w := &world{
		cluster: config.Cluster{
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32},
			Cloud:   config.Cloud{RequestsPerSecond: 4, ListLagSeconds: 5},
		},
		options: config.DefaultOptions(), nodes: 3, capacity: map[poolName]int{}, zones: map[string]string{},
	}
	for _, text := range declared {
		line := parseStatement(text)
		declare, ok := declarations[line.verb]
		if !ok {
			return nil, fmt.Errorf("world: %q: unknown declaration", text)
		}
		declare(w, line)
		if line.err != nil {
			return nil, fmt.Errorf("world: %q: %w", text, line.err)
		}
	}
	s := newSim(w.cluster, w.options, seed, log)
	s.cloud.capacity, s.cloud.types = w.capacity, w.types
	for i := range w.nodes {
		name := string(rune('a' + i))
		s.hosts = append(s.hosts, &host{s: s, name: name, zone: w.zones[name], unaware: w.unaware})
	}
	for _, h := range s.hosts {
		h.start()
	}
	return s, nil
}
