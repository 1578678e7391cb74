// Package config reads the two files a controller is given: the platform's
// settings (TOML) and, if there is one, the operators' options (HCL).
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the platform's settings. Fields unknown to this version are
// ignored.
type Settings struct {
	Controller string   `toml:"node_name"`
	Zone       string   `toml:"area"`
	PublicAddr string   `toml:"public_addr"`
	PeerAddr   string   `toml:"peer_bind"`
	Peers      []Peer   `toml:"siblings"`
	External   External `toml:"external"`
	Cluster    Cluster  `toml:"cluster"`
}

// Sibling is another controller.
type Peer struct {
	Controller string `toml:"node_name"`
	Zone       string `toml:"area"`
	Address    string `toml:"address"`
}

// External names the services the controllers depend on.
type External struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Cluster is what all controllers share.
type Cluster struct {
	Size          int           `toml:"initial_size"`
	Zones         []string      `toml:"zones"`
	ClockOffMS    float64       `toml:"clock_off_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Agents        Agents        `toml:"workers"`
	KVStore       KVStore       `toml:"state"`
	Cloud         Cloud         `toml:"cloud"`
	ProcessLimits ProcessLimits `toml:"limits"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is one aim on starting or finishing work.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinSeconds  float64 `toml:"within_s"`
	DeadlineFactor float64 `toml:"times"`
	Share          float64 `toml:"share"`
}

// Workers are the workers' times.
type Agents struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// Cloud is what the cloud allows.
type Cloud struct {
	RequestsPerSecond float64 `toml:"rps"`
	ListLagSeconds    float64 `toml:"list_lag_s"`
}

// Limits are the machine's.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"mem_mb"`
	Sockets  int     `toml:"fd_limit"`
}

// Lease is the workers' lease.
func (w Agents) Lease() time.Duration { return seconds(w.LeaseSeconds) }

// Report is the time between a worker's reports.
func (w Agents) HeartbeatInterval() time.Duration { return seconds(w.HeartbeatSeconds) }

// Cancel is the time in which all tasks of a cancelled job must be gone.
func (w Agents) CancelTimeout() time.Duration { return seconds(w.CancelSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadSettings reads and checks the platform's settings.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := ParseSettings(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// ParseSettings reads and checks settings. Every fault found is in the error.
func ParseSettings(data []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(data, &s); err != nil {
		return nil, nameField(err)
	}
	return &s, s.check()
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
	var found faults
	s.checkNode(&found)
	s.checkTeams(&found)
	workers := s.Cluster.Agents
	found.positive("cluster.workers.report_s", workers.HeartbeatSeconds)
	found.positive("cluster.workers.lease_s", workers.LeaseSeconds)
	found.positive("cluster.workers.cancel_s", workers.CancelSeconds)
	if workers.CancelSeconds > 0 && workers.CancelSeconds <= workers.LeaseSeconds {
		found.add("cluster.workers.cancel_s", "must exceed lease_s")
	}
	s.Cluster.KVStore.check(&found)
	found.positive("cluster.cloud.rps", s.Cluster.Cloud.RequestsPerSecond)
	if s.Cluster.ProcessLimits.MemoryMB < 0 || s.Cluster.ProcessLimits.Sockets < 0 {
		found.add("cluster.limits", "below 0")
	}
	return errors.Join(found...)
}

// checkNode checks this controller's own addresses and the other controllers.
func (s *Settings) checkNode(found *faults) {
	if s.Controller == "" {
		found.add("node_name", missing)
	}
	found.address("public_addr", s.PublicAddr)
	found.address("peer_bind", s.PeerAddr)
	found.address("external.cloud", s.External.Cloud)
	found.address("external.state", s.External.KVStore)
	seen := map[string]bool{s.Controller: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("siblings[%d].", i)
		found.unique(field+"node_name", p.Controller, seen)
		found.address(field+"address", p.Address)
	}
}

func (s *Settings) checkTeams(found *faults) {
	if len(s.Cluster.Teams) == 0 {
		found.add("cluster.teams", missing)
	}
	seen := map[string]bool{}
	for i, t := range s.Cluster.Teams {
		field := fmt.Sprintf("cluster.teams[%d].", i)
		found.unique(field+"name", t.Name, seen)
		if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
			found.add(field+"cpus", "below 0")
		}
	}
}

// Margin is what the time budgets of leases leave at most for answers on their
// way (a worker drops answers after 4 s) and for slow processes.
const LeaseMargin = 5 * time.Second

// Authority is how old a holder's knowledge of cancellations may be while it
// still renews workers' leases: a cancellation it has not heard of must reach
// the end of the worker's lease within the time for cancelling.
func (w Agents) MaxStaleness() time.Duration {
	spare := w.CancelTimeout() - w.Lease()
	return min(spare-min(LeaseMargin, spare/4)-w.Lease()/1000, w.Lease())
}
