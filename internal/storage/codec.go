package storage

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"rockrun/internal/protocol"
)

// Encode turns a record into the value that is stored. Records hold nothing that can't be
// encoded, so that a failure is a fault of the program and panics.
func Encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("storage: encode %T: %v", record, err))
	}
	return data
}

// DecodeFinal reads the record of a job that has ended. Its error wraps the decoder's.
func DecodeFinal(value json.RawMessage) (FinalRecord, error) {
	var final FinalRecord
	if err := json.Unmarshal(value, &final); err != nil {
		return final, fmt.Errorf("final record: %w", err)
	}
	return final, nil
}

// headerMark begins an entry of an IntentPage that is an IntentHeader.
const headerMark = "@"

// intentHeader is a decoded IntentHeader.
type intentHeader struct {
	team                 string
	cpus, gpus, memoryGB float64
}

// IntentHeader encodes in an IntentPage whose quota a job's tasks count against and how
// much each takes. The job's own record is gone once it is cancelled, while its tasks
// may still be on machines that nobody can reach.
func IntentHeader(team string, cpus, gpus, memoryGB float64) string {
	number := func(amount float64) string { return " " + strconv.FormatFloat(amount, 'g', -1, 64) }
	return headerMark + team + number(cpus) + number(gpus) + number(memoryGB)
}

// parseIntentHeader is the reverse of IntentHeader.
func parseIntentHeader(entry string) (intentHeader, error) {
	parts := strings.Split(strings.TrimPrefix(entry, headerMark), " ")
	firstAmount := len(parts) - 3 // a team's name may hold spaces
	if firstAmount < 1 {
		return intentHeader{}, &MalformedError{What: "intent header", Text: entry}
	}
	header := intentHeader{team: strings.Join(parts[:firstAmount], " ")}
	for i, amount := range []*float64{&header.cpus, &header.gpus, &header.memoryGB} {
		var err error
		if *amount, err = strconv.ParseFloat(parts[firstAmount+i], 64); err != nil {
			return intentHeader{}, &MalformedError{What: "intent header", Text: entry, Err: err}
		}
	}
	return header, nil
}

// IntentEntry encodes an attempt in an IntentPage: the task's number, the machine, and
// the number of the attempt in base 36.
func IntentEntry(task int, machine string, attempt uint64) string {
	return strconv.Itoa(task) + " " + machine + " " + strconv.FormatUint(attempt, 36)
}

// plannedAttempt is a decoded IntentEntry.
type plannedAttempt struct {
	task    int
	machine string
	attempt uint64
}

// parseIntentEntry is the reverse of IntentEntry.
func parseIntentEntry(entry string) (plannedAttempt, error) {
	taskText, rest, hasMachine := strings.Cut(entry, " ")
	machine, attemptText, hasAttempt := strings.Cut(rest, " ")
	task, taskErr := strconv.Atoi(taskText)
	attempt, attemptErr := strconv.ParseUint(attemptText, 36, 64)
	if !hasMachine || !hasAttempt || taskErr != nil || attemptErr != nil || task < 0 || task >= protocol.MaxTasks {
		return plannedAttempt{}, &MalformedError{What: "intent", Text: entry}
	}
	return plannedAttempt{task, machine, attempt}, nil
}

// TasksPerChunk is how many tasks one entry of a CompletionPage covers; an entry stays
// below 1.4 KiB.
const TasksPerChunk = 8192

// CompletionChunkName names a chunk of a job's tasks in a CompletionPage. Chunk 0 begins
// with task 0, chunk 1 with task TasksPerChunk.
func CompletionChunkName(id string, chunk int) string { return id + "/" + strconv.Itoa(chunk) }

// parseCompletionChunkName is the reverse of CompletionChunkName.
func parseCompletionChunkName(name string) (id string, chunk int, err error) {
	id, chunkText, ok := strings.Cut(name, "/")
	chunk, chunkErr := strconv.Atoi(chunkText)
	if !ok || chunkErr != nil || chunk < 0 || chunk > protocol.MaxTasks/TasksPerChunk || !protocol.ValidJobID(id) {
		return "", 0, &MalformedError{What: "completion chunk", Text: name}
	}
	return id, chunk, nil
}
