# The measurements, each against its baseline in the same run.
#
#   make bench          overhead, propagation of edits, suspicion, claims, the policies
BENCH_HOSTS ?= 8

.PHONY: bench
bench: setup
	$(MAKE) -s -j programs benches
	JAYTRAIL_BUILD=$(BUILD) bench/overhead.sh
	$(BUILD)/bench/propagation --build $(BUILD) --hosts $(BENCH_HOSTS)
	$(BUILD)/bench/membership
	$(BUILD)/bench/slopes_claim
	$(MAKE) -s bench-policy
