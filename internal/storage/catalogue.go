package storage

import (
	"slices"

	"rockrun/internal/protocol"
)

// RoundingTolerance absorbs rounding in sums of decimal amounts, such as CPUs and gigabytes.
const RoundingTolerance = 1e-6

// Catalogue is the machine types and zones.
type Catalogue struct {
	MachineTypeNames    Names
	MachineTypes        []protocol.MachineType // by index; zero CPUs where only the name is known
	MachineTypesVersion uint64                 // 0 while what the cloud offers is not known
	ZoneNames           Names
}

// MachineTypeID returns the index of a machine type, known to the cloud or not.
func (c *Catalogue) MachineTypeID(name string) int {
	id := c.MachineTypeNames.ID(name)
	for len(c.MachineTypes) <= id {
		c.MachineTypes = append(c.MachineTypes, protocol.MachineType{Name: c.MachineTypeNames.Name(len(c.MachineTypes))})
	}
	return id
}

// FitsMachineType reports whether the job's owner allows a machine type, given by its
// index, and a machine of it is large enough for a task.
func (c *Catalogue) FitsMachineType(j *Job, machineType int) bool {
	t := &c.MachineTypes[machineType]
	return t.CPUs > 0 && j.CPUs <= t.CPUs+RoundingTolerance && j.GPUs <= t.GPUs+RoundingTolerance && j.MemoryGB <= t.MemoryGB+RoundingTolerance &&
		(len(j.MachineTypeIndices) == 0 || slices.Contains(j.MachineTypeIndices, machineType))
}

// Eligible reports whether the job's owner allows a machine for its tasks, and it is
// large enough for one that has it to itself.
func (c *Catalogue) Eligible(j *Job, m *Machine) bool {
	return (!m.Spot || j.Spot) && (j.ZoneIndex < 0 || j.ZoneIndex == m.ZoneIndex) && c.FitsMachineType(j, m.TypeIndex)
}

func (c *Catalogue) applyMachineTypes(stored storedRecord) error {
	catalogue, newer, err := decodeNewer[protocol.MachineTypeCatalogue](stored, c.MachineTypesVersion)
	if !newer {
		return err
	}
	c.MachineTypesVersion = stored.version
	for _, machineType := range catalogue.Types {
		id := c.MachineTypeID(machineType.Name) // may make MachineTypes longer
		c.MachineTypes[id] = machineType
	}
	return nil
}
