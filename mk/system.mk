# The failure tests on real processes.
#
#   make failures   every case of docs/FAULTS.md
#   make soak       random faults on a site for MINUTES with fresh seeds (printed)

MINUTES ?= 2

.PHONY: soak failures
failures: programs system
	$(BUILD)/tests/system $(BUILD)
soak: programs system
	tools/soak.sh $(MINUTES)
