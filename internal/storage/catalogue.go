package storage

import (
	"slices"

	"rockrun/internal/protocol"
)

// RoundingTolerance absorbs rounding errors in sums of decimal amounts such as CPUs and
// gigabytes.
const RoundingTolerance = 1e-6

// Catalogue holds the machine types and zones.
type Catalogue struct {
	MachineTypeNames    Names
	MachineTypes        []protocol.MachineType // by index; zero CPUs if only the name is known
	MachineTypesVersion uint64                 // 0 while the machine types that the cloud offers are not known
	ZoneNames           Names
}

// MachineTypeIndex returns the index of a machine type. It adds the name if it is new, even
// if the cloud does not offer such a type.
func (c *Catalogue) MachineTypeIndex(name string) int {
	index := c.MachineTypeNames.Index(name)
	for len(c.MachineTypes) <= index {
		c.MachineTypes = append(c.MachineTypes, protocol.MachineType{Name: c.MachineTypeNames.Name(len(c.MachineTypes))})
	}
	return index
}

// FitsMachineType reports whether the job allows a machine type, given by its index, and an
// empty machine of that type is large enough for one task of the job.
func (c *Catalogue) FitsMachineType(j *Job, machineType int) bool {
	t := &c.MachineTypes[machineType]
	return t.CPUs > 0 && j.CPUs <= t.CPUs+RoundingTolerance && j.GPUs <= t.GPUs+RoundingTolerance && j.MemoryGB <= t.MemoryGB+RoundingTolerance &&
		(len(j.MachineTypeIndices) == 0 || slices.Contains(j.MachineTypeIndices, machineType))
}

// Eligible reports whether the job allows a machine for its tasks and the machine, if
// empty, is large enough for one of them.
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
		index := c.MachineTypeIndex(machineType.Name) // may extend MachineTypes
		c.MachineTypes[index] = machineType
	}
	return nil
}
