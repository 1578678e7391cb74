package coordination

// setWriteBudget works out this process's part of the writes that all controllers share,
// by what it does: the home of the work that ends writes most, the leader and
// the homes of services less, and what is left is for users' requests, which
// never wait for a budget.
func (n *Controller) setWriteBudget() {
	part := 0.02
	if n.leadership != nil {
		part += 0.25
	}
	for s := range n.shardCount {
		switch {
		case s >= n.view.JobShards || !n.leases.Holds(s):
		case n.view.JobShards == 1:
			part += 0.5
		case s == 0:
			part += 0.4
		default:
			part += 0.1 / float64(n.view.JobShards-1)
		}
	}
	n.committer.Budget.SetRate(max(1, part*n.committer.Limits().WriteRate))
}
