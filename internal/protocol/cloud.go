package protocol

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"encoding/json"
)

// Stages of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineType is a kind of machine the cloud rents out.
type MachineType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"gpus"`
	MemoryGB        float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`
	FetchGBPS       float64  `json:"fetchGbPerS"`
	HourlyPrice     float64  `json:"hourly"`
	HourlySpotPrice float64  `json:"marketPrice"`
	BootSeconds     float64  `json:"bootS"`
	Zones           []string `json:"yards"`
}

// Catalogue is the cloud's answer to what it rents.
type MachineTypeCatalogue struct {
	Types []MachineType `json:"builds"`
}

// Rent asks for machines. Request names it for ever: repeating it is harmless.
type CreateMachinesRequest struct {
	Request string `json:"ask"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaner"`
	Count   int    `json:"count"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	Name       string  `json:"id"`
	Address    string  `json:"address"`
	Type       string  `json:"build"`
	Zone       string  `json:"yard"`
	Spot       bool    `json:"loaner"`
	Stage      string  `json:"stage"`
	AgeSeconds float64 `json:"ageS"`
}

// Errors that tell what is known about a call.
var (
	// ErrNotDone: the call was certainly not carried out.
	ErrNotExecuted = errors.New("refused, not carried out")
	// ErrUnknown: the call may have been carried out, or may yet be.
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	// ErrRejected: the call can never be carried out as it is, since it is malformed or
	// over a limit. Sending it again is of no use.
	ErrRejected = errors.New("rejected for good")
	// ErrTooMany: the call was not carried out, since there were too many.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrNoCapacity: the cloud has no such machines now.
	ErrNoCapacity = errors.New("no capacity")
)

// Caller makes one HTTP request and gives up at the timeout. Its errors mean
// that no answer came.
type Caller interface {
	Call(method, addr, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error)
}

// CloudClient speaks to the cloud's API.
type CloudClient struct {
	HTTP    Caller
	Addr    string
	Timeout time.Duration
}

func callJSON(c Caller, method, addr, path string, in, out any, timeout time.Duration) (int, []byte, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, nil, fmt.Errorf("encode %s: %w", path, err)
		}
	}
	status, answer, err := c.Call(method, addr, path, body, timeout)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %s %s: %v", ErrOutcomeUnknown, method, path, err)
	}
	if status == http.StatusOK && out != nil {
		if err := Decode(answer, out); err != nil {
			return status, answer, fmt.Errorf("%w: %s %s: %v", ErrOutcomeUnknown, method, path, err)
		}
	}
	return status, answer, nil
}

func refused(what string, status int, answer []byte) error {
	if len(answer) > 200 {
		answer = answer[:200]
	}
	kind := ErrNotExecuted
	switch status {
	case http.StatusBadRequest:
		kind = ErrRejected
	case http.StatusTooManyRequests:
		kind = ErrRateLimited
	}
	return fmt.Errorf("%w: %s: status %d: %s", kind, what, status, answer)
}

// Catalogue reads the machine types and their current prices.
func (c *CloudClient) MachineTypes() (MachineTypeCatalogue, error) {
	var out MachineTypeCatalogue
	status, answer, err := callJSON(c.HTTP, http.MethodGet, c.Addr, "/flavors", nil, &out, c.Timeout)
	if err == nil && status != http.StatusOK {
		err = refused("machine types", status, answer)
	}
	return out, err
}

// Rent rents machines and returns their names.
func (c *CloudClient) CreateMachines(r CreateMachinesRequest) ([]string, error) {
	var out struct {
		Machines []string `json:"hosts"`
	}
	status, answer, err := callJSON(c.HTTP, http.MethodPost, c.Addr, "/hosts", r, &out, c.Timeout)
	if err != nil {
		return nil, err
	}
	if status == http.StatusOK {
		if len(out.Machines) == 0 {
			return nil, ErrNoCapacity // an answer without machines, whatever it means, brings none
		}
		return out.Machines, nil
	}
	var p ErrorBody
	if status == http.StatusServiceUnavailable && Decode(answer, &p) == nil && p.Error == "no capacity" {
		return nil, ErrNoCapacity
	}
	return nil, refused("rent", status, answer)
}

// Delete gives machines back. No error means that they are gone.
func (c *CloudClient) DeleteMachines(names []string) error {
	in := struct {
		Machines []string `json:"hosts"`
	}{names}
	status, answer, err := callJSON(c.HTTP, http.MethodPost, c.Addr, "/hosts/delete", in, nil, c.Timeout)
	if err == nil && status != http.StatusOK {
		err = refused("delete", status, answer)
	}
	return err
}

// MachinesPerCall is how many machines one call of a list asks for.
const MachinesPerCall = 500

// List reads all machines, page by page.
func (c *CloudClient) ListMachines() ([]CloudMachine, error) {
	var all []CloudMachine
	after := ""
	for {
		var page struct {
			Machines []CloudMachine `json:"hosts"`
			More     bool           `json:"more"`
		}
		path := fmt.Sprintf("/hosts?most=%d", MachinesPerCall)
		if after != "" {
			path += "&from=" + url.QueryEscape(after)
		}
		status, answer, err := callJSON(c.HTTP, http.MethodGet, c.Addr, path, nil, &page, c.Timeout)
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, refused("list machines", status, answer)
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

// WorkerClient sends commands straight to workers.
type AgentClient struct {
	HTTP    Caller
	Timeout time.Duration
}

// Command carries out commands at once. With no error the report tells what is
// on the machine; done is false when the worker refused the commands.
func (c *AgentClient) Execute(addr string, o CommandRequest) (r *AgentHeartbeat, done bool, err error) {
	if o.Commands == nil {
		o.Commands = []Command{}
	}
	body, err := json.Marshal(o)
	if err != nil {
		return nil, false, fmt.Errorf("encode commands: %w", err)
	}
	status, answer, err := c.HTTP.Call(http.MethodPost, addr, "/commands", body, c.Timeout)
	if err != nil {
		return nil, false, fmt.Errorf("%w: commands to %s: %v", ErrOutcomeUnknown, addr, err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, refused("commands", status, answer)
	}
	r, err = ParseAgentHeartbeat(answer)
	return r, status == http.StatusOK, err
}
