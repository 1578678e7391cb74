package election

// A fencing token orders everyone who may command an agent. Its high bits are the term
// of the leader that issued it, below them is the leader's counter, and the lowest bits
// are left to the holder of the grant for steps of its own.
const (
	termShift    = 44
	counterShift = 24
)

// HolderSteps is how many tokens, and how many attempt numbers, the holder of a grant may
// derive from the grant's token.
const HolderSteps = 1 << counterShift

// maxTokenCounter bounds the leader's counter. More than the leader can use between two
// looks at it are left below the bits of the term.
const maxTokenCounter = 1<<(termShift-counterShift) - 1<<16

// TermOfToken returns the term of the leader that issued a token.
func TermOfToken(token uint64) uint64 { return token >> termShift }

// TokenSerial returns what a leader's token has above the holder's steps. No two tokens
// that leaders issue have the same one.
func TokenSerial(token uint64) uint64 { return token >> counterShift }

// DerivedNumber returns the number that a holder derives from its grant's token in a step.
func DerivedNumber(token, step uint64) uint64 {
	return TokenSerial(token)<<counterShift | step&(HolderSteps-1)
}
