# The failure tests on real processes.
#
#   make soak       random faults for SOAK_SECONDS from SOAK_SEED (printed; random if not given)

SOAK_SECONDS ?= 60
SOAK_SEED ?=

.PHONY: soak failures
failures: programs system
	$(BUILD)/tests/system $(BUILD)
soak: programs system
	JAYTRAIL_BUILD=$(BUILD) tools/soak.sh $(SOAK_SECONDS) $(SOAK_SEED)
