# The policy bench: one program of several files.
#
#   make bench-policy  the dispatch policy against an oracle and naive ones, in simulated time
POLICY_OBJ := $(call obj,bench/policy.c $(wildcard bench/policy/*.c))
POLICY_LIBS := $(BUILD)/libdispatch.a $(BUILD)/libbase.a
$(BUILD)/bench/policy: $(POLICY_OBJ) $(POLICY_LIBS)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(POLICY_OBJ) $(POLICY_LIBS) $(PKG_LIBS)

.PHONY: bench-policy
bench-policy: $(BUILD)/bench/policy
	$(BUILD)/bench/policy --csv $(BUILD)
	@if command -v gnuplot >/dev/null; then gnuplot -e "directory='$(BUILD)'" bench/policy.gnuplot; else echo "gnuplot is not installed: no plots"; fi
