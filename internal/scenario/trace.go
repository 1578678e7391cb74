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
// key-value store and the cloud, commands, messages to other controllers and answers. A
// different decision, or the same decision at a different time, changes the digest. Log
// lines are not included, so rewording one does not change it.
type trace struct {
	sim  *simulation
	hash hash.Hash
}

// Kinds of messages to agents and users. All kinds are part of the recorded digests, so their
// texts must not change.
const (
	kindHeartbeatAnswer = "report"
	kindUserAnswer      = "user"
)

func newTrace(sim *simulation) *trace { return &trace{sim: sim, hash: sha256.New()} }

// digest identifies everything that was sent so far.
func (t *trace) digest() string { return hex.EncodeToString(t.hash.Sum(nil)[:12]) }

// record adds a message of a controller to the digest by its values, without field names.
func (t *trace) record(controller, kind string, values ...any) {
	fmt.Fprintln(t.hash, t.sim.now.Nanoseconds(), controller, kind, values)
}

// recordJSON adds a message of a controller to the digest in its JSON wire form.
func (t *trace) recordJSON(controller, kind string, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("scenario: encode %T: %v", message, err))
	}
	t.record(controller, kind, string(data))
}

// recordAnswer adds a controller's answer to an agent or a user to the digest.
func (t *trace) recordAnswer(controller, kind string, answer api.Answer) {
	t.recordJSON(controller, kind, []any{answer.Status, answer.RetryAfter, answer.Body})
}

// recordPeerRequest adds a request to another controller to the digest. Of the agent
// heartbeats that the request forwards only the machine names are added: their content comes
// from the agents, not from the controller.
func (t *trace) recordPeerRequest(controller, receiver string, request protocol.PeerRequest) {
	t.record(controller, "cancelled", receiver, request.Cancelled)
	heartbeat := request.Heartbeat
	if heartbeat == nil {
		return
	}
	var unrecorded []string
	for i := range heartbeat.UnrecordedAgents {
		unrecorded = append(unrecorded, heartbeat.UnrecordedAgents[i].Machine)
	}
	within := slices.Sorted(slices.Values(heartbeat.GrantsWithinQuota)) // a set, sorted for a stable order
	t.record(controller, "heartbeat", receiver, heartbeat.Controller, heartbeat.Incarnation, heartbeat.SentAt, heartbeat.Term, heartbeat.StoreStaleness, heartbeat.Leaving, heartbeat.Machines, unrecorded, heartbeat.QuotaSplitVersion, within, heartbeat.ShardHeartbeatAges)
}

// recordPeerReply adds the heartbeat reply in an answer to another controller to the digest,
// if there is one.
func (t *trace) recordPeerReply(controller string, answer protocol.PeerAnswer) {
	if answer.Reply != nil {
		t.record(controller, "reply", *answer.Reply)
	}
}
