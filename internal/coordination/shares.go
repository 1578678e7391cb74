package coordination

import (
	"math"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// sharesTick splits the teams' guarantees and limits among the homes, so that
// each stays one controller's sum. Shares of a team never sum above the whole:
// what one home is to get more, another gives up first, in a record of its own,
// and only once that home's holder has said that it keeps to the smaller share
// is it given on.
func (l *leadership) sharesTick() {
	n := l.n
	b := n.cache
	if b.Homes <= 1 || l.sharing || n.now() < l.shareAt {
		return
	}
	settled := true // all homes keep to the shares as they stand
	conds := []protocol.Cond{l.cond(), {Key: bookkeeping.KeyShares, Version: b.SharesVer}}
	for s := range b.Homes {
		g := &b.Grants[s]
		p := l.peers[g.Node]
		settled = settled && p != nil && p.incarnation == g.Incarnation && p.shares == b.SharesVer && slices.Contains(p.keeps, g.Token)
		conds = append(conds, protocol.Cond{Key: bookkeeping.GrantKey(s), Version: g.Version})
	}
	rec := bookkeeping.SharesRecord{}
	change := false
	needs := l.needs()
	for i := range b.Teams {
		t := &b.Teams[i]
		if !t.Limited() {
			continue
		}
		next := splitShares(t.Shares, needs[i], guaranteedPart(t), settled)
		rec[t.Name] = next
		change = change || !slices.Equal(next, t.Shares)
	}
	if !change {
		return
	}
	l.sharing = true
	n.budget.force(n.now(), 1)
	n.txn(protocol.Txn{If: conds, Then: []protocol.Op{{Put: bookkeeping.KeyShares, Value: bookkeeping.Encode(rec)}}}, func(uint64, error) {
		l.sharing = false
		l.shareAt = n.now() + time.Second
	})
}

const wholeShare = bookkeeping.WholeShare

// need is what a team uses in a home and waits for there, in parts of its limit.
type need struct{ used, waits int }

// splitShares works out a team's next shares from the present ones and what each
// home needs. A home gets more only out of what nobody has, and only while all
// are known to keep to the present shares; when one lacks, what others have
// beyond their due is taken from them first. It lacks when it needs more than its
// share, or more than its share of the guarantee, which is given as a part of the
// limit. Services, which are homes 1 and up, come before the work that ends.
func splitShares(now []int, needs []need, guaranteed int, settled bool) []int {
	homes := len(needs)
	due := make([]int, homes)
	left := wholeShare
	for i, n := range needs {
		due[i] = n.used
		left -= n.used
	}
	for i := range homes {
		home := (i + 1) % homes
		more := max(0, min(needs[home].waits, left))
		due[home] += more
		left -= more
	}
	// What nobody waits for is room to grow, in proportion: as long as all of a
	// team's work fits into its guarantee, each home's part of it then does.
	whole := 0
	for _, n := range needs {
		whole += n.used + n.waits + 1
	}
	for i, n := range needs {
		due[i] += int(float64(max(left, 0)) * 0.999999 * float64(n.used+n.waits+1) / float64(whole)) // never more than there is
	}
	if len(now) != homes {
		return due
	}
	lacks := false
	free := wholeShare
	for i, s := range now {
		n := needs[i].used + needs[i].waits
		lacks = lacks || n > s && due[i] > s || n > int(float64(s)*float64(guaranteed)/wholeShare) && due[i] > s+s/8+wholeShare/200
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
func guaranteedPart(t *bookkeeping.Team) int {
	part := 1.0
	if t.CPUsMax > 0 && t.CPUs > 0 {
		part = min(part, t.CPUs/t.CPUsMax)
	}
	if t.GPUsMax > 0 && t.GPUs > 0 {
		part = min(part, t.GPUs/t.GPUsMax)
	}
	return int(part * wholeShare)
}

// needs is what each team uses and waits for in each home, in parts of its limit,
// or of its guarantee where it has no limit.
func (l *leadership) needs() [][]need {
	b := l.n.cache
	used, waits := make([][]usage, len(b.Teams)), make([][]usage, len(b.Teams))
	for i := range used {
		used[i], waits[i] = make([]usage, b.Homes), make([]usage, b.Homes)
	}
	b.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Over() || j.Home < 0 || j.Home >= b.Homes {
			return
		}
		u, w := &used[j.TeamIdx][j.Home], &waits[j.TeamIdx][j.Home]
		u.cpus += float64(j.Running()) * j.CPUs
		u.gpus += float64(j.Running()) * j.GPUs
		if !j.Runnable() {
			return
		}
		w.cpus += float64(j.Open()) * j.CPUs
		w.gpus += float64(j.Open()) * j.GPUs
	})
	part := func(amount, limit, guarantee float64) int {
		whole := limit
		if whole <= 0 {
			whole = guarantee
		}
		if whole <= 0 {
			return 0
		}
		return int(min(math.Ceil(amount/whole*wholeShare), wholeShare))
	}
	out := make([][]need, len(b.Teams))
	for i := range b.Teams {
		t := &b.Teams[i]
		for home := range b.Homes {
			u, w := used[i][home], waits[i][home]
			out[i] = append(out[i], need{
				max(part(u.cpus, t.CPUsMax, t.CPUs), part(u.gpus, t.GPUsMax, t.GPUs)),
				max(part(w.cpus, t.CPUsMax, t.CPUs), part(w.gpus, t.GPUsMax, t.GPUs)),
			})
		}
	}
	return out
}

// keepsShares lists the grants under which this node holds homes of which nothing
// takes more than the teams' shares allow. It names the grants, not itself: a
// controller that has just been granted a home may not know yet what is on the
// machines there, and what it said before says nothing of them.
func (h *holder) keepsShares() []uint64 {
	b := h.n.cache
	var out []uint64
	for s := range h.writers {
		kept := true
		for i, u := range h.used(s) {
			t := &b.Teams[i]
			kept = kept && keeps(u.cpus, t.CPUsMax, b.Share(t, s, t.CPUsMax)) && keeps(u.gpus, t.GPUsMax, b.Share(t, s, t.GPUsMax))
		}
		if kept {
			out = append(out, b.Grants[s].Token)
		}
	}
	return out
}
