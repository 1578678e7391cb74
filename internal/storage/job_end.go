package storage

import "rockrun/internal/protocol"

// EndJobOperations returns the operations that end a job: one deletes its record, which
// all controllers follow, and the other writes its final record. The caller must put both
// into one transaction with a precondition on the version of the job's record, so that a
// job can end only once.
func EndJobOperations(job string, final FinalRecord) []protocol.Operation {
	return []protocol.Operation{
		{Delete: JobKey(job)},
		{Put: FinalKey(job), Value: Encode(final)},
	}
}
