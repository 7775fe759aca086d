# Targets that run things.
.PHONY: check demo bench help
setup:
	tools/setup.sh
check: setup
	tools/check.sh
demo: setup
	$(MAKE) -s -j programs
	tools/demo.sh
help:
	@grep -hE '^#   make' Makefile
# Longer runs of the fuzzers: make fuzz FUZZ_SEED=7 FUZZ_COUNT=5000000
FUZZ_SEED ?= 1
FUZZ_COUNT ?= 2000000
.PHONY: fuzz
fuzz: setup
	$(MAKE) -s -j BUILD=build-asan SAN=address,undefined CFLAGS="-O1 -g" units
	build-asan/tests/test_fuzz $(FUZZ_SEED) $(FUZZ_COUNT)
