package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"slices"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// trace is a running digest of everything that controllers send: requests to the
// key-value store and the cloud, commands, messages to other controllers and answers.
// Log lines are no part of it, so rewording one does not change a digest, while any
// other decision, or the same one at another time, does.
type trace struct {
	sim  *simulation
	hash hash.Hash
}

// Kinds of what is sent to agents and users. Like all kinds they are part of the recorded
// digests, so their texts stay as they were when these were made.
const (
	kindHeartbeatAnswer = "report"
	kindUserAnswer      = "user"
)

func newTrace(sim *simulation) *trace { return &trace{sim: sim, hash: sha256.New()} }

// digest identifies all that was sent so far.
func (t *trace) digest() string { return hex.EncodeToString(t.hash.Sum(nil)[:12]) }

// sent takes in a message of a controller as its values, without the names of fields.
func (t *trace) sent(controller, kind string, values ...any) {
	fmt.Fprintln(t.hash, t.sim.now.Nanoseconds(), controller, kind, values)
}

// sentJSON takes in a message of a controller in its form on the wire.
func (t *trace) sentJSON(controller, kind string, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("scenario: encode %T: %v", message, err))
	}
	t.sent(controller, kind, string(data))
}

// answered takes in a controller's answer to an agent or a user.
func (t *trace) answered(controller, kind string, answer api.Answer) {
	t.sentJSON(controller, kind, []any{answer.Status, answer.RetryAfter, answer.Body})
}

// asked takes in a request to another controller. The heartbeats that it passes on are
// named only: they are the agents' words, not the controller's.
func (t *trace) asked(controller, receiver string, request protocol.PeerRequest) {
	t.sent(controller, "cancelled", receiver, request.Cancelled)
	heartbeat := request.Heartbeat
	if heartbeat == nil {
		return
	}
	var unrecorded []string
	for i := range heartbeat.UnrecordedAgents {
		unrecorded = append(unrecorded, heartbeat.UnrecordedAgents[i].Machine)
	}
	within := slices.Sorted(slices.Values(heartbeat.GrantsWithinQuota)) // a set
	t.sent(controller, "heartbeat", receiver, heartbeat.Controller, heartbeat.Incarnation, heartbeat.SentAt, heartbeat.Term, heartbeat.StoreStaleness, heartbeat.Leaving, heartbeat.Machines, unrecorded, heartbeat.QuotaSplitVersion, within, heartbeat.ShardHeartbeatAges)
}

// replied takes in an answer to another controller.
func (t *trace) replied(controller string, answer protocol.PeerAnswer) {
	if answer.Reply != nil {
		t.sent(controller, "reply", *answer.Reply)
	}
}
