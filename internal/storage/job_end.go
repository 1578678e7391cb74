package storage

import "rockrun/internal/protocol"

// EndJobOperations are the changes that end a job: its record leaves what controllers
// follow and its final one is written, in one transaction under the version of the first,
// so only one end can ever happen.
func EndJobOperations(job string, final FinalRecord) []protocol.Operation {
	return []protocol.Operation{
		{Delete: JobKey(job)},
		{Put: FinalKey(job), Value: Encode(final)},
	}
}
