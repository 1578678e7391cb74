package election

// A fencing token orders the controllers that may command an agent. Its high bits are the
// term of the leader that issued it, and the bits below are the leader's counter. The lowest
// bits are reserved for numbers that the holder of a grant derives from the grant's token.
const (
	termShift    = 44
	counterShift = 24
)

// DerivedNumbersPerGrant is the number of tokens, and of attempt numbers, that the holder of a
// grant may derive from the grant's token.
const DerivedNumbersPerGrant = 1 << counterShift

// maxTokenCounter limits the leader's counter. The counter values left between the limit and
// the term bits are more than a leader can use between two checks of the counter.
const maxTokenCounter = 1<<(termShift-counterShift) - 1<<16

// TermOfToken returns the term of the leader that issued a token.
func TermOfToken(token uint64) uint64 { return token >> termShift }

// TokenSerial returns the term and counter bits of a token. Every token issued by a leader has
// a different serial.
func TokenSerial(token uint64) uint64 { return token >> counterShift }

// DerivedNumber returns the number at an index of the range that a holder derives from its
// grant's token.
func DerivedNumber(token, index uint64) uint64 {
	return TokenSerial(token)<<counterShift | index&(DerivedNumbersPerGrant-1)
}
