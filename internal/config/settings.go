package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the platform's settings. Fields unknown to this version are
// ignored.
type Settings struct {
	Controller string   `toml:"node_name"`
	Zone       string   `toml:"area"`
	PublicAddr string   `toml:"public_addr"` // for users, operators and agents
	PeerAddr   string   `toml:"peer_bind"`   // for the other controllers
	Peers      []Peer   `toml:"siblings"`
	External   External `toml:"external"`
	Cluster    Cluster  `toml:"cluster"`
}

// Peer is another controller.
type Peer struct {
	Controller string `toml:"node_name"`
	Zone       string `toml:"area"`
	Address    string `toml:"address"`
}

// External has the addresses of the services that the controllers depend on.
type External struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Cluster is what all controllers share.
type Cluster struct {
	Size          int           `toml:"initial_size"` // controllers when the cluster starts
	Zones         []string      `toml:"zones"`
	ClockOffMS    float64       `toml:"clock_off_ms"` // bound of what the wall clock differs from true time
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Agents        Agents        `toml:"workers"`
	KVStore       KVStore       `toml:"state"`
	Cloud         Cloud         `toml:"cloud"`
	ProcessLimits ProcessLimits `toml:"limits"`
}

// Team is a team with its quota; an amount of 0 is none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// ObjectiveKind is what an objective promises. Kinds without a constant are not acted on.
type ObjectiveKind string

// Kinds of objectives that order jobs.
const (
	ObjectiveFinished ObjectiveKind = "finished" // done WithinSeconds of submission; for jobs without a deadline
	ObjectiveDeadline ObjectiveKind = "deadline" // done within DeadlineFactor times the job's deadline
)

// Objective is a service-level objective: what operators promise for a class of jobs.
type Objective struct {
	Kind           ObjectiveKind `toml:"kind"`
	Class          string        `toml:"class"`
	WithinSeconds  float64       `toml:"within_s"`
	DeadlineFactor float64       `toml:"times"`
	Share          float64       `toml:"share"` // of the jobs that are to meet it
}

// Cloud is what the cloud allows and promises.
type Cloud struct {
	RequestsPerSecond float64 `toml:"rps"`
	ListLagSeconds    float64 `toml:"list_lag_s"` // how old its list of machines usually is; sometimes twice that
}

// ProcessLimits are what the host gives the controller's process; 0 is no limit.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"mem_mb"`
	Sockets  int     `toml:"fd_limit"`
}

// LoadSettings reads and checks the platform's settings. Its error names the file, and
// otherwise is that of ParseSettings.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := ParseSettings(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

// ParseSettings reads and checks settings. The error is the decoder's, with line and
// field, or all faults found, each a FieldError.
func ParseSettings(data []byte) (*Settings, error) {
	var settings Settings
	if err := toml.Unmarshal(data, &settings); err != nil {
		return nil, nameField(err)
	}
	return &settings, settings.check()
}

// nameField puts the field and the line before a decoder's error, which names the
// type it could not decode into.
func nameField(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, _ := decode.Position()
	return fmt.Errorf("line %d: %s: %w", line, strings.Join(decode.Key(), "."), err)
}

func (s *Settings) check() error {
	var found fieldErrors
	s.checkAddresses(&found)
	s.checkTeams(&found)
	s.Cluster.Agents.check(&found)
	s.Cluster.KVStore.check(&found)
	found.requirePositive("cluster.cloud.rps", s.Cluster.Cloud.RequestsPerSecond)
	if s.Cluster.ProcessLimits.MemoryMB < 0 || s.Cluster.ProcessLimits.Sockets < 0 {
		found.add("cluster.limits", problemNegative)
	}
	return errors.Join(found...)
}

// checkAddresses checks this controller's name, all addresses and the other controllers.
func (s *Settings) checkAddresses(found *fieldErrors) {
	if s.Controller == "" {
		found.add("node_name", problemMissing)
	}
	found.requireAddress("public_addr", s.PublicAddr)
	found.requireAddress("peer_bind", s.PeerAddr)
	found.requireAddress("external.cloud", s.External.Cloud)
	found.requireAddress("external.state", s.External.KVStore)
	seen := map[string]bool{s.Controller: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("siblings[%d].", i)
		found.requireUnique(field+"node_name", peer.Controller, seen)
		found.requireAddress(field+"address", peer.Address)
	}
}

func (s *Settings) checkTeams(found *fieldErrors) {
	if len(s.Cluster.Teams) == 0 {
		found.add("cluster.teams", problemMissing)
	}
	seen := map[string]bool{}
	for i, team := range s.Cluster.Teams {
		field := fmt.Sprintf("cluster.teams[%d].", i)
		found.requireUnique(field+"name", team.Name, seen)
		if team.GuaranteedCPUs < 0 || team.MaxCPUs < 0 || team.GuaranteedGPUs < 0 || team.MaxGPUs < 0 {
			found.add(field+"cpus", problemNegative)
		}
	}
}
