package protocol

// MachineStage is the stage of a machine in the cloud's list.
type MachineStage = string

// Stages of a machine.
const (
	MachineBooting MachineStage = "booting"
	MachineRunning MachineStage = "running"
	MachineFailed  MachineStage = "failed"
)

// MachineType is a type of machine that the cloud offers. Prices are per hour and machine.
type MachineType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"gpus"`
	MemoryGB        float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`     // space for cached images
	FetchGBPS       float64  `json:"fetchGbPerS"` // rate at which images are fetched
	HourlyPrice     float64  `json:"hourly"`
	HourlySpotPrice float64  `json:"marketPrice"`
	BootSeconds     float64  `json:"bootS"`
	Zones           []string `json:"yards"`
}

// MachineTypeCatalogue is the list of the machine types that the cloud offers.
type MachineTypeCatalogue struct {
	Types []MachineType `json:"builds"`
}

// CreateMachinesRequest is a request to create machines.
type CreateMachinesRequest struct {
	// Request is the idempotency key of the creation; it never expires. The cloud executes
	// a repeated request once.
	Request string `json:"ask"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaner"`
	Count   int    `json:"count"`
}

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	Name       string       `json:"id"`
	Address    string       `json:"address"`
	Type       string       `json:"build"`
	Zone       string       `json:"yard"`
	Spot       bool         `json:"loaner"`
	Stage      MachineStage `json:"stage"`
	AgeSeconds float64      `json:"ageS"` // since the machine was created
}
