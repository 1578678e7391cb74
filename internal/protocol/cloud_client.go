package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// CloudClient speaks to the cloud's API. Errors match ErrNoCapacity, ErrOutcomeUnknown or
// the kind of a RefusedError.
type CloudClient struct {
	HTTP    Caller
	Addr    string
	Timeout time.Duration
}

// MachinesPerCall is how many machines one call of a list asks for.
const MachinesPerCall = 500

// cloudSaysNoCapacity is how the cloud says that it has no such machines.
const cloudSaysNoCapacity = "no capacity"

func (c *CloudClient) endpoint() endpoint {
	return endpoint{http: c.HTTP, addr: c.Addr, timeout: c.Timeout}
}

// MachineTypes reads the machine types and their current prices.
func (c *CloudClient) MachineTypes() (MachineTypeCatalogue, error) {
	var catalogue MachineTypeCatalogue
	err := c.endpoint().expectOK("machine types", http.MethodGet, "/flavors", nil, &catalogue)
	return catalogue, err
}

// CreateMachines rents machines and returns their names. The cloud may have fewer than were
// asked for; ErrNoCapacity means that it has none.
func (c *CloudClient) CreateMachines(request CreateMachinesRequest) ([]string, error) {
	var created machineNames
	status, answer, err := c.endpoint().send(http.MethodPost, "/hosts", request, &created)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK && len(created.Machines) == 0:
		return nil, ErrNoCapacity // an answer without machines, whatever it means, brings none
	case status == http.StatusOK:
		return created.Machines, nil
	case status == http.StatusServiceUnavailable && saysError(answer, cloudSaysNoCapacity):
		return nil, ErrNoCapacity
	}
	return nil, refused("create machines", status, answer)
}

// DeleteMachines decommissions machines. No error means that they are gone.
func (c *CloudClient) DeleteMachines(names []string) error {
	return c.endpoint().expectOK("delete machines", http.MethodPost, "/hosts/delete", machineNames{names}, nil)
}

// ListMachines reads all machines, page by page.
func (c *CloudClient) ListMachines() ([]CloudMachine, error) {
	var all []CloudMachine
	after := ""
	for {
		path := fmt.Sprintf("/hosts?most=%d", MachinesPerCall)
		if after != "" {
			path += "&from=" + url.QueryEscape(after)
		}
		var page machinePage
		if err := c.endpoint().expectOK("list machines", http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

// machineNames is what the cloud answers to a creation, and what a deletion names.
type machineNames struct {
	Machines []string `json:"hosts"`
}

// machinePage is a part of the cloud's list.
type machinePage struct {
	Machines []CloudMachine `json:"hosts"`
	More     bool           `json:"more"`
}
