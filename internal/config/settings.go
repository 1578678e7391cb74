package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the platform's settings. Fields that this version does not know are ignored.
type Settings struct {
	Controller string   `toml:"node_name"`
	Zone       string   `toml:"area"`
	PublicAddr string   `toml:"public_addr"` // for users, operators and agents
	PeerAddr   string   `toml:"peer_bind"`   // for peers
	Peers      []Peer   `toml:"siblings"`
	External   External `toml:"external"`
	Cluster    Cluster  `toml:"cluster"`
	// IgnoredFields are the names of fields that differ from those of known fields in case only.
	IgnoredFields []string `toml:"-"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Controller string `toml:"node_name"`
	Zone       string `toml:"area"`
	Address    string `toml:"address"`
}

// External holds the addresses of the external services that the controllers depend on.
type External struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Cluster holds the settings that all controllers share.
type Cluster struct {
	InitialSize     int           `toml:"initial_size"` // number of controllers when the cluster starts
	Zones           []string      `toml:"zones"`
	MaxClockErrorMS float64       `toml:"clock_off_ms"` // maximum difference between the wall clock and true time
	Teams           []Team        `toml:"teams"`
	Objectives      []Objective   `toml:"objectives"`
	Agents          Agents        `toml:"workers"`
	KVStore         KVStore       `toml:"state"`
	Cloud           Cloud         `toml:"cloud"`
	ProcessLimits   ProcessLimits `toml:"limits"`
}

// Team is a team with its quota; an amount of 0 means no guarantee or no maximum.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// ObjectiveKind is the kind of promise of an objective. Kinds without a constant are ignored.
type ObjectiveKind string

// Kinds of objectives that affect the order of jobs.
const (
	ObjectiveFinished ObjectiveKind = "finished" // finished within WithinSeconds of submission; for jobs without a deadline
	ObjectiveDeadline ObjectiveKind = "deadline" // finished within DeadlineFactor times the job's deadline
)

// Objective is a service-level objective that operators promise for a class of jobs.
type Objective struct {
	Kind           ObjectiveKind `toml:"kind"`
	Class          string        `toml:"class"`
	WithinSeconds  float64       `toml:"within_s"`
	DeadlineFactor float64       `toml:"times"`
	Share          float64       `toml:"share"` // fraction of the jobs that should meet the objective
}

// Cloud holds the request limit of the cloud and the lag of its machine list.
type Cloud struct {
	RequestsPerSecond float64 `toml:"rps"`
	ListLagSeconds    float64 `toml:"list_lag_s"` // usual age of the cloud's list of machines; sometimes twice that
}

// ProcessLimits holds the resource limits of the controller's process; 0 means no limit.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"mem_mb"`
	Sockets  int     `toml:"fd_limit"`
}

// LoadSettings reads and checks the platform's settings. The error names the file; if the
// file was read, the error wraps that of ParseSettings.
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

// ParseSettings parses and checks settings. The error is that of the decoder with line and
// field, or all invalid fields joined, each as a FieldError.
func ParseSettings(data []byte) (*Settings, error) {
	var settings Settings
	ignored, err := decodeExact(data, &settings)
	if err != nil {
		return nil, withPosition(err)
	}
	settings.IgnoredFields = ignored
	return &settings, settings.check()
}

// withPosition prepends the line and the field to a decoder's error. The decoder's own text
// names the type that it could not decode into.
func withPosition(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, _ := decode.Position()
	return fmt.Errorf("line %d: %s: %w", line, strings.Join(decode.Key(), "."), err)
}

func (s *Settings) check() error {
	var errs fieldErrors
	s.checkAddresses(&errs)
	s.checkTeams(&errs)
	s.Cluster.Agents.check(&errs)
	s.Cluster.KVStore.check(&errs)
	errs.requirePositive("cluster.cloud.rps", s.Cluster.Cloud.RequestsPerSecond)
	if s.Cluster.ProcessLimits.MemoryMB < 0 || s.Cluster.ProcessLimits.Sockets < 0 {
		errs.add("cluster.limits", problemNegative)
	}
	return errors.Join(errs...)
}

// checkAddresses checks this controller's name, all addresses and the names of the peers.
func (s *Settings) checkAddresses(errs *fieldErrors) {
	if s.Controller == "" {
		errs.add("node_name", problemMissing)
	}
	errs.requireAddress("public_addr", s.PublicAddr)
	errs.requireAddress("peer_bind", s.PeerAddr)
	errs.requireAddress("external.cloud", s.External.Cloud)
	errs.requireAddress("external.state", s.External.KVStore)
	seen := map[string]bool{s.Controller: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("siblings[%d].", i)
		errs.requireUnique(field+"node_name", peer.Controller, seen)
		errs.requireAddress(field+"address", peer.Address)
	}
}

func (s *Settings) checkTeams(errs *fieldErrors) {
	if len(s.Cluster.Teams) == 0 {
		errs.add("cluster.teams", problemMissing)
	}
	seen := map[string]bool{}
	for i, team := range s.Cluster.Teams {
		field := fmt.Sprintf("cluster.teams[%d].", i)
		errs.requireUnique(field+"name", team.Name, seen)
		if team.GuaranteedCPUs < 0 || team.MaxCPUs < 0 || team.GuaranteedGPUs < 0 || team.MaxGPUs < 0 {
			errs.add(field+"cpus", problemNegative)
		}
	}
}
