package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// CloudClient calls the API of the cloud. Errors match ErrNoCapacity, ErrOutcomeUnknown or
// the kind of a RefusedError.
type CloudClient struct {
	HTTP    Caller
	Addr    string
	Timeout time.Duration
}

// MachinesPerCall is the page size of ListMachines.
const MachinesPerCall = 500

// cloudNoCapacityText is the error text of the cloud when it has no machines of the requested
// type, zone and market.
const cloudNoCapacityText = "no capacity"

func (c *CloudClient) endpoint() endpoint {
	return endpoint{http: c.HTTP, addr: c.Addr, timeout: c.Timeout}
}

// MachineTypes returns the machine types and their current prices.
func (c *CloudClient) MachineTypes() (MachineTypeCatalogue, error) {
	var catalogue MachineTypeCatalogue
	err := c.endpoint().expectOK("machine types", http.MethodGet, "/flavors", nil, &catalogue)
	return catalogue, err
}

// CreateMachines creates machines and returns their names. The cloud may create fewer machines
// than requested; ErrNoCapacity means that it has created none.
func (c *CloudClient) CreateMachines(request CreateMachinesRequest) ([]string, error) {
	var created machineNames
	status, answer, err := c.endpoint().send(http.MethodPost, "/hosts", request, &created)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK && len(created.Machines) == 0:
		return nil, ErrNoCapacity // no machine was created, whatever the cause
	case status == http.StatusOK:
		return created.Machines, nil
	case status == http.StatusServiceUnavailable && hasErrorText(answer, cloudNoCapacityText):
		return nil, ErrNoCapacity
	}
	return nil, newRefusedError("create machines", status, answer)
}

// DeleteMachines deletes machines. A nil error means that the machines are gone.
func (c *CloudClient) DeleteMachines(names []string) error {
	return c.endpoint().expectOK("delete machines", http.MethodPost, "/hosts/delete", machineNames{names}, nil)
}

// ListMachines returns all machines. It reads them page by page.
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

// machineNames is the answer to a creation and the request of a deletion.
type machineNames struct {
	Machines []string `json:"hosts"`
}

// machinePage is one page of the cloud's list of machines.
type machinePage struct {
	Machines []CloudMachine `json:"hosts"`
	More     bool           `json:"more"`
}
