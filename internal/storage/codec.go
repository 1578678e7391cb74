package storage

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"rockrun/internal/protocol"
)

// Encode returns the stored value of a record. Every record type can be encoded, so a
// failure is a programming error and panics.
func Encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("storage: encode %T: %v", record, err))
	}
	return data
}

// DecodeFinal decodes the final record of a job. Its error wraps the JSON decoder's error.
func DecodeFinal(value json.RawMessage) (FinalRecord, error) {
	var final FinalRecord
	if err := protocol.Decode(value, &final); err != nil {
		return final, fmt.Errorf("decode final record: %w", err)
	}
	return final, nil
}

// headerPrefix is the first character of an IntentPage entry that is an IntentHeader.
const headerPrefix = "@"

// intentHeader is a decoded IntentHeader.
type intentHeader struct {
	team                 string
	cpus, gpus, memoryGB float64
}

// IntentHeader returns the IntentPage entry with the team whose quota a job's tasks count
// against and the resources of each task. The record of a cancelled job is deleted while
// its tasks may still be on unreachable machines, and the header preserves these values.
func IntentHeader(team string, cpus, gpus, memoryGB float64) string {
	formatAmount := func(amount float64) string { return " " + strconv.FormatFloat(amount, 'g', -1, 64) }
	return headerPrefix + team + formatAmount(cpus) + formatAmount(gpus) + formatAmount(memoryGB)
}

// parseIntentHeader decodes an entry that IntentHeader returned.
func parseIntentHeader(entry string) (intentHeader, error) {
	parts := strings.Split(strings.TrimPrefix(entry, headerPrefix), " ")
	firstAmount := len(parts) - 3 // a team's name may contain spaces
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

// IntentEntry returns the IntentPage entry of an attempt: the task number, the machine,
// and the attempt number in base 36.
func IntentEntry(task int, machine string, attempt uint64) string {
	return strconv.Itoa(task) + " " + machine + " " + strconv.FormatUint(attempt, 36)
}

// parsedIntent is a decoded IntentEntry.
type parsedIntent struct {
	task    int
	machine string
	attempt uint64
}

// parseIntentEntry decodes an entry that IntentEntry returned.
func parseIntentEntry(entry string) (parsedIntent, error) {
	taskText, rest, hasMachine := strings.Cut(entry, " ")
	machine, attemptText, hasAttempt := strings.Cut(rest, " ")
	task, taskErr := strconv.Atoi(taskText)
	attempt, attemptErr := strconv.ParseUint(attemptText, 36, 64)
	if !hasMachine || !hasAttempt || taskErr != nil || attemptErr != nil || task < 0 || task >= protocol.MaxTasks {
		return parsedIntent{}, &MalformedError{What: "intent", Text: entry}
	}
	return parsedIntent{task, machine, attempt}, nil
}

// TasksPerChunk is the number of tasks that one entry of a CompletionPage covers. It keeps
// an entry below 1.4 KiB.
const TasksPerChunk = 8192

// CompletionChunkName returns the name of a chunk of a job's tasks in a CompletionPage.
// Chunk 0 begins with task 0, chunk 1 with task TasksPerChunk.
func CompletionChunkName(id string, chunk int) string { return id + "/" + strconv.Itoa(chunk) }

// parseCompletionChunkName parses a name that CompletionChunkName returned.
func parseCompletionChunkName(name string) (id string, chunk int, err error) {
	id, chunkText, ok := strings.Cut(name, "/")
	chunk, chunkErr := strconv.Atoi(chunkText)
	if !ok || chunkErr != nil || chunk < 0 || chunk > protocol.MaxTasks/TasksPerChunk || !protocol.ValidJobID(id) {
		return "", 0, &MalformedError{What: "completion chunk", Text: name}
	}
	return id, chunk, nil
}
