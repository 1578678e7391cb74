package scenario

import (
	"io"
	"slices"
	"strconv"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// world is the environment that the world file of a scenario describes.
type world struct {
	cluster                  config.Cluster
	options                  config.Options
	controllers              int
	machineTypes             []protocol.MachineType
	capacity                 map[machinePool]int
	zones                    map[string]string // by controller
	unawareOfAnnouncedLimits bool              // the first controller processes don't know the announced limits
}

// Values of kind= in the capacity declaration and the machines expectation: on-demand or spot.
const (
	kindOnDemand = "ordinary"
	kindSpot     = "spot"
)

// declarations maps the verbs of the world file to the functions that apply them.
var declarations = map[string]func(w *world, line *statement){
	"controllers":      declareControllers,
	"agents":           declareAgents,
	"store":            declareStore,
	"announced-limits": declareAnnouncedLimits,
	"team":             declareTeam,
	"machine-type":     declareMachineType,
	"capacity":         declareCapacity,
	"controller-zone":  declareControllerZone,
	"job-shards":       declareJobShards,
}

// declareControllers: "controllers 5".
func declareControllers(w *world, line *statement) {
	count, err := strconv.Atoi(line.arg(0))
	if err != nil {
		line.fail("%v", err)
	}
	w.controllers = count
}

// declareControllerZone: "controller-zone a north".
func declareControllerZone(w *world, line *statement) { w.zones[line.arg(0)] = line.arg(1) }

// declareJobShards: "job-shards n=2".
func declareJobShards(w *world, line *statement) { w.options.JobShards = int(line.number("n", 0)) }

// declareAgents: "agents heartbeat=8 lease=44 cancel=74", in seconds.
func declareAgents(w *world, line *statement) {
	w.cluster.Agents = config.Agents{
		HeartbeatSeconds: line.number("heartbeat", 3),
		LeaseSeconds:     line.number("lease", 30),
		CancelSeconds:    line.number("cancel", 60),
	}
}

// declareStore: "store writes=20 value=4 ops=8", the limits of the key-value store in writes per
// second, KiB per value and operations per transaction.
func declareStore(w *world, line *statement) {
	w.cluster.KVStore = config.KVStore{
		RequestsPerSecond:     200,
		WritesPerSecond:       line.number("writes", 80),
		ValueKiB:              line.number("value", 8),
		TransactionOperations: int(line.number("ops", 32)),
	}
}

// declareAnnouncedLimits: "announced-limits writes=10 value=1 ops=4 unaware=1", the limits that the
// store will enforce later, in the units of declareStore. With unaware=1 the first process of each
// controller does not know them, like a version that lacks the setting.
func declareAnnouncedLimits(w *world, line *statement) {
	writes, value, ops := line.number("writes", 80), line.number("value", 8), int(line.number("ops", 32))
	w.cluster.KVStore.Announced = &config.AnnouncedLimits{WritesPerSecond: &writes, ValueKiB: &value, TransactionOperations: &ops}
	w.unawareOfAnnouncedLimits = line.number("unaware", 0) == 1
}

// declareTeam: "team red cpus=16 max=32", the guaranteed and the maximum CPUs.
func declareTeam(w *world, line *statement) {
	w.cluster.Teams = append(w.cluster.Teams, config.Team{
		Name:           line.arg(0),
		GuaranteedCPUs: line.number("cpus", 0),
		MaxCPUs:        line.number("max", 0),
	})
}

// declareMachineType: "machine-type small cpus=4 mem=32 price=0.4 spot=0.1 boot=5 fetch=1",
// with prices per hour, the boot time in seconds and the image fetch rate in GB per second.
func declareMachineType(w *world, line *statement) {
	w.machineTypes = append(w.machineTypes, protocol.MachineType{
		Name:            line.arg(0),
		CPUs:            line.number("cpus", 4),
		MemoryGB:        line.number("mem", 16),
		CacheGB:         100,
		FetchGBPS:       line.number("fetch", 1),
		HourlyPrice:     line.number("price", 1),
		HourlySpotPrice: line.number("spot", 0.3),
		BootSeconds:     line.number("boot", 5),
	})
}

// declareCapacity: "capacity small north kind=spot count=4", the number of machines of a type that
// the cloud can provide in a zone.
func declareCapacity(w *world, line *statement) {
	pool := machinePool{machineType: line.arg(0), zone: line.arg(1), spot: line.text("kind", kindOnDemand) == kindSpot}
	w.capacity[pool] = int(line.number("count", 1))
	for i := range w.machineTypes {
		if t := &w.machineTypes[i]; t.Name == pool.machineType && !slices.Contains(t.Zones, pool.zone) {
			t.Zones = append(t.Zones, pool.zone)
		}
	}
}

// defaultWorld returns the values that apply unless a scenario declares others.
func defaultWorld() *world {
	return &world{
		cluster: config.Cluster{
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32},
			Cloud:   config.Cloud{RequestsPerSecond: 4, ListLagSeconds: 5},
		},
		options:     config.DefaultOptions(),
		controllers: 3,
		capacity:    map[machinePool]int{},
		zones:       map[string]string{},
	}
}

// buildWorld parses the world file of a scenario and starts the simulation that it describes.
func buildWorld(declared []string, seed uint64, log io.Writer) (*simulation, error) {
	parsedWorld := defaultWorld()
	for _, text := range declared {
		line := parseStatement(text)
		declare, ok := declarations[line.verb]
		if !ok {
			return nil, &LineError{File: fileWorld, Line: text, Err: ErrUnknownVerb}
		}
		declare(parsedWorld, line)
		if line.err != nil {
			return nil, &LineError{File: fileWorld, Line: text, Err: line.err}
		}
	}
	return parsedWorld.start(seed, log), nil
}

// start creates the simulation and starts its controllers.
func (w *world) start(seed uint64, log io.Writer) *simulation {
	sim := newSimulation(w.cluster, w.options, seed, log)
	sim.cloud.capacity, sim.cloud.types = w.capacity, w.machineTypes
	for i := range w.controllers {
		name := string(rune('a' + i))
		sim.hosts = append(sim.hosts, &host{
			sim:                      sim,
			name:                     name,
			zone:                     w.zones[name],
			unawareOfAnnouncedLimits: w.unawareOfAnnouncedLimits,
		})
	}
	for _, h := range sim.hosts {
		h.start()
	}
	return sim
}
