# The failure tests on real processes.
#
#   make failures   every case of docs/FAULTS.md
#   make soak       random faults on a site for MINUTES with fresh seeds (printed)
#   make deployment days of a deployment at its size: DEPLOYMENT_SEED=7 DEPLOYMENT_COUNT=5,
#                   DEPLOYMENT_DAY=short-kills

MINUTES ?= 2

DEPLOYMENT_SEED ?= 1
DEPLOYMENT_COUNT ?= 1
DEPLOYMENT_DAY ?= mixed

.PHONY: soak failures deployment
failures: programs system
	$(BUILD)/tests/system $(BUILD)
soak: programs system
	tools/soak.sh $(MINUTES)
deployment: programs system
	$(BUILD)/tests/deployment --programs $(BUILD) --day $(DEPLOYMENT_DAY) --seed $(DEPLOYMENT_SEED) \
	  --count $(DEPLOYMENT_COUNT)
