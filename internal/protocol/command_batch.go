package protocol

import "strconv"

// MaxMessageBytes is the protocol's limit on a request body and on a line of an answer.
const MaxMessageBytes = 64 << 10

// Sizes in bytes of the JSON encoding of the messages exchanged with agents. Names are bounded
// by the protocol: a job ID has at most 18 digits, a task number 5 and an integer 20.
const (
	// maxTaskStatusBytes bounds one entry of the task list of a heartbeat, with the spaces that
	// an encoder may put between its parts.
	maxTaskStatusBytes = 128
	// maxHeartbeatHeaderBytes bounds a heartbeat without its task list.
	maxHeartbeatHeaderBytes = 1024
	// commandsHeaderBytes bounds an AgentHeartbeatAnswer or a CommandRequest without commands.
	commandsHeaderBytes = len(`{"baton":18446744073709551615,"shift":18446744073709551615,"orders":[]}`)
	// commandBytes is the size of a command and its separator without the values of its fields.
	commandBytes = len(`{"verb":"","piece":"","try":},`)
	// graceBytes bounds the grace period of a command.
	graceBytes = len(`,"leewayS":-2.2250738585072014e-308`)
)

// MaxTasksPerMachine is the number of tasks on a machine, ended ones included, up to which the
// agent's heartbeat stays within MaxMessageBytes.
const MaxTasksPerMachine = (MaxMessageBytes - maxHeartbeatHeaderBytes) / maxTaskStatusBytes

// CommandBatch collects commands for one message to an agent and keeps the message within
// MaxMessageBytes.
type CommandBatch struct {
	commands []Command
	bytes    int // of the encoded commands, separators included
}

// NewCommandBatch returns an empty batch with room for a number of commands.
func NewCommandBatch(commands int) CommandBatch {
	return CommandBatch{commands: make([]Command, 0, commands)}
}

// Add appends a command, or returns false if it does not fit into the message and must be sent
// with a later one.
func (b *CommandBatch) Add(command Command) (fits bool) {
	size := encodedSize(&command)
	if commandsHeaderBytes+b.bytes+size > MaxMessageBytes {
		return false
	}
	b.bytes += size
	b.commands = append(b.commands, command)
	return true
}

// Commands returns the commands of the message; it is never nil.
func (b *CommandBatch) Commands() []Command { return b.commands }

// encodedSize returns an upper bound of the size of a command in a message. Task names contain
// no characters that JSON escapes.
func encodedSize(command *Command) int {
	size := commandBytes + len(command.Verb) + len(command.Task) + decimalDigits(command.Attempt)
	if command.GraceSeconds != nil {
		size += graceBytes
	}
	return size
}

// decimalDigits returns the length of a number in decimal notation.
func decimalDigits(number uint64) int {
	var buffer [20]byte
	return len(strconv.AppendUint(buffer[:0], number, 10))
}
