# The measurements behind docs/CAPACITY.md.
#
#   make slopes     what the parts cost against their sizes, with linear fits
SLOPES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/slopes_*.c))

.PHONY: slopes
slopes: $(SLOPES) programs
	JAYTRAIL_BUILD=$(BUILD) tools/slopes.sh
