package coordination

import (
	"math"
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// sharesTick splits the teams' guarantees and limits among the homes, so that
// each stays one controller's sum. Shares of a team never sum above the whole:
// what one home is to get more, another gives up first, in a record of its own,
// and only once that home's holder has said that it keeps to the smaller share
// is it given on.
func (l *leadership) updateQuotaSplit() {
	n := l.controller
	b := n.view
	if b.JobShards <= 1 || l.quotaSplitInFlight || n.now() < l.nextQuotaSplitAt {
		return
	}
	settled := true // all homes keep to the shares as they stand
	conds := []protocol.Condition{l.leaderCondition(), {Key: storage.KeyQuotaSplit, Version: b.QuotaSplitVersion}}
	for s := range b.JobShards {
		g := &b.Grants[s]
		p := l.peers[g.Controller]
		settled = settled && p != nil && p.incarnation == g.Incarnation && p.quotaSplitVersion == b.QuotaSplitVersion && slices.Contains(p.grantsWithinQuota, g.FencingToken)
		conds = append(conds, protocol.Condition{Key: storage.GrantKey(s), Version: g.Version})
	}
	rec := storage.QuotaSplitRecord{}
	change := false
	needs := l.quotaDemands()
	for i := range b.Teams {
		t := &b.Teams[i]
		if !t.HasQuota() {
			continue
		}
		next := splitQuota(t.QuotaSplit, needs[i], guaranteedPart(t), settled)
		rec[t.Name] = next
		change = change || !slices.Equal(next, t.QuotaSplit)
	}
	if !change {
		return
	}
	l.quotaSplitInFlight = true
	n.committer.Budget.TakeAnyway(n.now(), 1)
	n.committer.Commit(protocol.Transaction{Conditions: conds, Operations: []protocol.Operation{{Put: storage.KeyQuotaSplit, Value: storage.Encode(rec)}}}, func(uint64, error) {
		l.quotaSplitInFlight = false
		l.nextQuotaSplitAt = n.now() + time.Second
	})
}

const wholeQuota = storage.WholeQuota

// need is what a team uses in a home and waits for there, in parts of its limit.
type quotaDemand struct{ used, waiting int }

// splitShares works out a team's next shares from the present ones and what each
// home needs. A home gets more only out of what nobody has, and only while all
// are known to keep to the present shares; when one lacks, what others have
// beyond their due is taken from them first. It lacks when it needs more than its
// share, or more than its share of the guarantee, which is given as a part of the
// limit. Services, which are homes 1 and up, come before the work that ends.
func splitQuota(now []int, needs []quotaDemand, guaranteed int, settled bool) []int {
	homes := len(needs)
	due := make([]int, homes)
	left := wholeQuota
	for i, n := range needs {
		due[i] = n.used
		left -= n.used
	}
	for i := range homes {
		home := (i + 1) % homes
		more := max(0, min(needs[home].waiting, left))
		due[home] += more
		left -= more
	}
	// What nobody waits for is room to grow, in proportion: as long as all of a
	// team's work fits into its guarantee, each home's part of it then does.
	whole := 0
	for _, n := range needs {
		whole += n.used + n.waiting + 1
	}
	for i, n := range needs {
		due[i] += int(float64(max(left, 0)) * 0.999999 * float64(n.used+n.waiting+1) / float64(whole)) // never more than there is
	}
	if len(now) != homes {
		return due
	}
	lacks := false
	free := wholeQuota
	for i, s := range now {
		n := needs[i].used + needs[i].waiting
		lacks = lacks || n > s && due[i] > s || n > int(float64(s)*float64(guaranteed)/wholeQuota) && due[i] > s+s/8+wholeQuota/200
		free -= s
	}
	next := slices.Clone(now)
	if !lacks || !settled {
		return next
	}
	for i, s := range now {
		switch {
		case due[i] < s:
			next[i] = due[i]
		case due[i] > s:
			more := min(due[i]-s, free)
			next[i] += more
			free -= more
		}
	}
	return next
}

// guaranteedPart is a team's guarantee in parts of its limit.
func guaranteedPart(t *storage.Team) int {
	part := 1.0
	if t.MaxCPUs > 0 && t.GuaranteedCPUs > 0 {
		part = min(part, t.GuaranteedCPUs/t.MaxCPUs)
	}
	if t.MaxGPUs > 0 && t.GuaranteedGPUs > 0 {
		part = min(part, t.GuaranteedGPUs/t.MaxGPUs)
	}
	return int(part * wholeQuota)
}

// needs is what each team uses and waits for in each home, in parts of its limit,
// or of its guarantee where it has no limit.
func (l *leadership) quotaDemands() [][]quotaDemand {
	b := l.controller.view
	used, waits := make([][]teamUsage, len(b.Teams)), make([][]teamUsage, len(b.Teams))
	for i := range used {
		used[i], waits[i] = make([]teamUsage, b.JobShards), make([]teamUsage, b.JobShards)
	}
	b.Jobs.All(func(_ int, j *storage.Job) {
		if j.Ended() || j.Shard < 0 || j.Shard >= b.JobShards {
			return
		}
		u, w := &used[j.TeamIndex][j.Shard], &waits[j.TeamIndex][j.Shard]
		u.cpus += float64(j.RunningTasks()) * j.CPUs
		u.gpus += float64(j.RunningTasks()) * j.GPUs
		if !j.Runnable() {
			return
		}
		w.cpus += float64(j.OpenTasks()) * j.CPUs
		w.gpus += float64(j.OpenTasks()) * j.GPUs
	})
	part := func(amount, limit, guarantee float64) int {
		whole := limit
		if whole <= 0 {
			whole = guarantee
		}
		if whole <= 0 {
			return 0
		}
		return int(min(math.Ceil(amount/whole*wholeQuota), wholeQuota))
	}
	out := make([][]quotaDemand, len(b.Teams))
	for i := range b.Teams {
		t := &b.Teams[i]
		for home := range b.JobShards {
			u, w := used[i][home], waits[i][home]
			out[i] = append(out[i], quotaDemand{
				max(part(u.cpus, t.MaxCPUs, t.GuaranteedCPUs), part(u.gpus, t.MaxGPUs, t.GuaranteedGPUs)),
				max(part(w.cpus, t.MaxCPUs, t.GuaranteedCPUs), part(w.gpus, t.MaxGPUs, t.GuaranteedGPUs)),
			})
		}
	}
	return out
}

// keepsShares lists the grants under which this node holds homes of which nothing
// takes more than the teams' shares allow. It names the grants, not itself: a
// controller that has just been granted a home may not know yet what is on the
// machines there, and what it said before says nothing of them.
func (h *reconciler) grantsWithinQuota() []uint64 {
	b := h.controller.view
	var out []uint64
	for s := range h.writers {
		kept := true
		for i, u := range h.usageOf(s) {
			t := &b.Teams[i]
			kept = kept && withinQuota(u.cpus, t.MaxCPUs, b.QuotaShare(t, s, t.MaxCPUs)) && withinQuota(u.gpus, t.MaxGPUs, b.QuotaShare(t, s, t.MaxGPUs))
		}
		if kept {
			out = append(out, b.Grants[s].FencingToken)
		}
	}
	return out
}
