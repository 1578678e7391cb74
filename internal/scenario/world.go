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
	controllers    int
	machineTypes    []protocol.MachineType
	capacity map[machinePool]int
	zones    map[string]string // of controllers
	unawareOfAnnouncedLimits  bool              // controllers don't know the limits to come
}

// declarations are the verbs of a world.
var declarations = map[string]func(w *world, line *statement){
	"controllers":      declareControllers,
	"agents":           declareAgents,
	"store":            declareStore,
	"announced-limits": declareAnnouncedLimits,
	"team":             declareTeam,
	"machine-type":     declareMachineType,
	"capacity":         declareCapacity,
	"controller-zone": func(w *world, line *statement) {
		w.zones[line.arg(0)] = line.arg(1)
	},
	"job-shards": func(w *world, line *statement) {
		w.options.JobShards = int(line.number("n", 0))
	},
}

func declareControllers(w *world, line *statement) {
	n, err := strconv.Atoi(line.arg(0))
	if err != nil {
		line.fail("%v", err)
	}
	w.controllers = n
}

func declareAgents(w *world, line *statement) {
	w.cluster.Agents = config.Agents{HeartbeatSeconds: line.number("heartbeat", 3), LeaseSeconds: line.number("lease", 30), CancelSeconds: line.number("cancel", 60)}
}

func declareStore(w *world, line *statement) {
	w.cluster.KVStore = config.KVStore{RequestsPerSecond: 200, WritesPerSecond: line.number("writes", 80), ValueKiB: line.number("value", 8), TransactionOperations: int(line.number("ops", 32))}
}

// declareNextState says what the state service will allow later. With unaware=1 the
// controllers' first processes have not been told, like those of a version that does
// not know the setting.
func declareAnnouncedLimits(w *world, line *statement) {
	writes, value, ops := line.number("writes", 80), line.number("value", 8), int(line.number("ops", 32))
	w.cluster.KVStore.Announced = &config.AnnouncedLimits{WritesPerSecond: &writes, ValueKiB: &value, TransactionOperations: &ops}
	w.unawareOfAnnouncedLimits = line.number("unaware", 0) == 1
}

func declareTeam(w *world, line *statement) {
	w.cluster.Teams = append(w.cluster.Teams, config.Team{Name: line.arg(0), GuaranteedCPUs: line.number("cpus", 0), MaxCPUs: line.number("max", 0)})
}

func declareMachineType(w *world, line *statement) {
	w.machineTypes = append(w.machineTypes, protocol.MachineType{
		Name: line.arg(0), CPUs: line.number("cpus", 4), MemoryGB: line.number("mem", 16), CacheGB: 100, FetchGBPS: line.number("fetch", 1),
		HourlyPrice: line.number("price", 1), HourlySpotPrice: line.number("spot", 0.3), BootSeconds: line.number("boot", 5),
	})
}

func declareCapacity(w *world, line *statement) {
	pool := machinePool{line.arg(0), line.arg(1), line.text("kind", "ordinary") == "spot"}
	w.capacity[pool] = int(line.number("count", 1))
	for i := range w.machineTypes {
		if t := &w.machineTypes[i]; t.Name == pool.machineType && !slices.Contains(t.Zones, pool.zone) {
			t.Zones = append(t.Zones, pool.zone)
		}
	}
}

// buildWorld reads the world of a scenario and starts its controllers.
func buildWorld(declared []string, seed uint64, log io.Writer) (*simulation, error) {
	plan := &world{
		cluster: config.Cluster{
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32},
			Cloud:   config.Cloud{RequestsPerSecond: 4, ListLagSeconds: 5},
		},
		options: config.DefaultOptions(), controllers: 3, capacity: map[machinePool]int{}, zones: map[string]string{},
	}
	for _, text := range declared {
		line := parseStatement(text)
		declare, ok := declarations[line.verb]
		if !ok {
			return nil, fmt.Errorf("world: %q: unknown declaration", text)
		}
		declare(plan, line)
		if line.err != nil {
			return nil, fmt.Errorf("world: %q: %w", text, line.err)
		}
	}
	sim := newSim(plan.cluster, plan.options, seed, log)
	sim.cloud.capacity, sim.cloud.types = plan.capacity, plan.machineTypes
	for i := range plan.controllers {
		name := string(rune('a' + i))
		sim.hosts = append(sim.hosts, &host{sim: sim, name: name, zone: plan.zones[name], unawareOfAnnouncedLimits: plan.unawareOfAnnouncedLimits})
	}
	for _, h := range sim.hosts {
		h.start()
	}
	return sim, nil
}
