# Operators' options of rockrun, with their defaults. Times are in seconds.

# Cycle of the autoscaler (0.2 to 60).
cycle_s = 1
# How long work is blocked before the autoscaler scales out (0 to 600).
rent_window_s = 1
# How long the cheapest kind of machine is idle enough before it drains; more expensive
# ones drain sooner in proportion to their price (0 to 3600).
give_window_s = 25
# Booked share of a machine's CPUs below which it counts as idle (0 to 1).
give_below = 0.3
# Machines that are always kept, and machines at most (0 and 1 to 100000).
fleet_min = 0
fleet_max = 10000
# Machines that are expected at once, for the warnings of "rockrun check" and of the
# log; 0 is not said (0 to 100000).
fleet_expected = 0
# Cloud calls that create machines in a cycle at most; 0 makes it two, or six tenths of what
# the cloud allows in a second where that is more (0 to 20).
calls_per_cycle = 0
# Multiples of a type's boot time after which a boot counts as failed (1.5 to 20).
boot_patience = 2.5
# Boot times of a new machine that arrays wait for the machines there are before
# more are created (0 to 20).
rent_patience = 2
# Replicas of each kind of running service for which room is kept (0 to 1000).
service_spare = 4
# A holder's lease on its shards; 0 derives it from the agents' lease (0 to 600).
block_lease_s = 0
# Job shards among which the work is split, settled when the cluster first starts; 0
# makes it one with up to three controllers and two with more (0 to 1000).
homes = 0
# Silence after which a running machine is replaced; 0 derives it from the
# agents' lease (0 to 3600).
silent_s = 0
