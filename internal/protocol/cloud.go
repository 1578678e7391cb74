package protocol

// MachineStage is how far a machine of the cloud's list is.
type MachineStage = string

// Stages of a machine.
const (
	MachineBooting MachineStage = "booting"
	MachineRunning MachineStage = "running"
	MachineFailed  MachineStage = "failed"
)

// MachineType is a kind of machine that the cloud rents out. Prices are per hour and
// machine.
type MachineType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"gpus"`
	MemoryGB        float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`     // room for images
	FetchGBPS       float64  `json:"fetchGbPerS"` // at which images are fetched
	HourlyPrice     float64  `json:"hourly"`
	HourlySpotPrice float64  `json:"marketPrice"`
	BootSeconds     float64  `json:"bootS"`
	Zones           []string `json:"yards"`
}

// MachineTypeCatalogue is the cloud's answer to what it rents out.
type MachineTypeCatalogue struct {
	Types []MachineType `json:"builds"`
}

// CreateMachinesRequest asks for machines.
type CreateMachinesRequest struct {
	// Request names the creation for ever: the cloud carries out a repeated request once.
	Request string `json:"ask"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaner"`
	Count   int    `json:"count"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	Name       string       `json:"id"`
	Address    string       `json:"address"`
	Type       string       `json:"build"`
	Zone       string       `json:"yard"`
	Spot       bool         `json:"loaner"`
	Stage      MachineStage `json:"stage"`
	AgeSeconds float64      `json:"ageS"` // since it was created
}
