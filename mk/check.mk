# Targets that run things.
#
#   make fuzz       longer runs of the fuzzers: FUZZ_SEED=7 FUZZ_COUNT=5000000
.PHONY: check demo help
setup:
	tools/setup.sh
check: setup
	tools/check.sh
demo: setup
	$(MAKE) -s -j programs
	tools/demo.sh
help:
	@grep -hE '^#   make' Makefile mk/*.mk

FUZZ_SEED ?= 1
FUZZ_COUNT ?= 2000000
.PHONY: fuzz
fuzz: setup
	$(MAKE) -s -j BUILD=build-asan SAN=address,undefined CFLAGS="-O1 -g" units
	build-asan/tests/test_fuzz $(FUZZ_SEED) $(FUZZ_COUNT)
	build-asan/tests/test_config_fuzz $(FUZZ_SEED) $(FUZZ_COUNT)
