# Options of rockrun for operators, set to their defaults. Times are in seconds.

# Interval between two cycles of the autoscaler (0.2 to 60).
cycle_s = 1
# How long tasks are blocked before the autoscaler scales out (0 to 600).
rent_window_s = 1
# How long a machine with the cheapest CPUs must be idle before it drains; machines with more
# expensive CPUs drain sooner, in proportion to the price (0 to 3600).
give_window_s = 25
# Booked share of a machine's CPUs below which the machine counts as idle (0 to 1).
give_below = 0.3
# Minimum (0 to 100000) and maximum (1 to 100000) number of machines. Scale-in preserves the
# minimum.
fleet_min = 0
fleet_max = 10000
# Expected number of machines at the same time, used only for the warnings of "rockrun check"
# and in the log; 0: not specified (0 to 100000).
fleet_expected = 0
# Maximum number of cloud calls per cycle that create machines; 0: two, or six tenths of the
# calls that the cloud allows per second if that is more (0 to 20).
calls_per_cycle = 0
# Multiple of a machine type's boot time after which a boot counts as failed (1.5 to 20).
boot_patience = 2.5
# Multiple of a new machine's boot time that arrays wait for existing machines before more are
# created (0 to 20).
rent_patience = 2
# Number of replicas of each kind of running service for which spare capacity is reserved
# (0 to 1000).
service_spare = 4
# Duration of a shard lease; 0: derived from the agents' lease (0 to 600).
block_lease_s = 0
# Number of job shards among which jobs are split, fixed when the cluster first starts; 0: one
# with up to three controllers, two with more (0 to 1000).
homes = 0
# Time without a heartbeat after which a running machine is replaced; 0: derived from the
# agents' lease (0 to 3600).
silent_s = 0
