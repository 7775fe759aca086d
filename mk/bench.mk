# The measurements, each against its baseline in the same run.
#
#   make bench      overhead, recovery, propagation of edits, suspicion, claims, policies; plots in build/
BENCH_HOSTS ?= 8

.PHONY: bench
bench: setup
	$(MAKE) -s -j programs benches
	JAYTRAIL_BUILD=$(BUILD) OVERHEAD_OUT=$(BUILD)/overhead bench/overhead.sh
	JAYTRAIL_BUILD=$(BUILD) bench/recovery.sh
	$(BUILD)/bench/propagation --build $(BUILD) --hosts $(BENCH_HOSTS)
	$(BUILD)/bench/membership
	$(BUILD)/bench/slopes_claim
	$(MAKE) -s bench-policy
