package storage

import "testing"

// TestShardQuota: a single job shard has the whole quota. Each of several job shards has
// its part, and nothing before the split has been read.
func TestShardQuota(t *testing.T) {
	v := newTestView(t, 3)
	red, blue := &v.Teams[0], &v.Teams[1]
	if !red.HasQuota() || !red.HasGuarantee || blue.HasQuota() || blue.HasGuarantee {
		t.Errorf("%+v, %+v", red, blue)
	}
	check := func(step string, jobShard int, want float64) {
		t.Helper()
		if got := v.ShardQuota(red, jobShard, 100); got != want {
			t.Errorf("%s: job shard %d has %v, want %v", step, jobShard, got, want)
		}
	}
	v.put(KeyJobShards, JobShardsRecord{JobShards: 1})
	check("one job shard", 0, 100)
	v.put(KeyJobShards, JobShardsRecord{JobShards: 2})
	check("not split", 0, 0)
	v.put(KeyQuotaSplit, QuotaSplitRecord{"red": {WholeQuota / 4, WholeQuota / 2}})
	check("split", 0, 25)
	check("split", 1, 50)
	check("job shard out of range", 2, 0)
	check("job shard out of range", -1, 0)
}
