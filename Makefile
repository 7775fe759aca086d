# Builds the libraries, the two programs, the stand-ins and the tests.
#
#   make            programs and stand-ins, in build/
#   make check      packages, everything built, all tests under sanitizers
#   make demo       one job through separate processes, answers printed
#   make help       the other targets

BUILD ?= build
SAN ?=
CC = gcc
LIBS := scheduler executor cluster drain reactor job dispatch quota claim view config platform slo http settings wire base

PKGS := glib-2.0 json-c msgpack libxxhash argtable2 libevent_core
# Recursive on purpose: pkg-config is asked only when something is compiled, after `make setup`.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lcivetweb -lhttp_parser -lcrypto -lm -lpthread
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE $(CFLAGS) $(WARN) -Ilib -I. $(PKG_CFLAGS) -MMD -MP
LDFLAGS ?=
ifneq ($(SAN),)
ALL_CFLAGS += -fsanitize=$(SAN) -fno-omit-frame-pointer -fno-sanitize-recover=all
LDFLAGS += -fsanitize=$(SAN)
endif

lib_src = $(filter-out %_example.c,$(wildcard lib/$(1)/*.c))
ARCHIVES := $(foreach l,$(LIBS),$(if $(call lib_src,$(l)),$(BUILD)/lib$(l).a))
GROUP = -Wl,--start-group $(ARCHIVES) -Wl,--end-group

DAEMON_SRC := $(wildcard daemon/*.c) $(wildcard platform/*.c)
TOOL_SRC := $(wildcard tool/*.c)
UNIT_SRC := $(wildcard tests/test_*.c)
SYS_SRC := $(wildcard tests/system/*.c)
SOAK_SRC := $(wildcard tests/soak/*.c)
DEPLOYMENT_SRC := $(wildcard tests/deployment/*.c)
BENCH_SRC := $(wildcard bench/*.c)
EXAMPLE_SRC := $(wildcard lib/*/*_example.c)
# A stand-in is standins/fake_NAME.c with the common parts in standins/common_*.c, and its own
# parts in standins/NAME_*.c.
STANDIN_MAINS := $(wildcard standins/fake_*.c)
STANDIN_COMMON := $(wildcard standins/common_*.c)

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))

PROGRAMS := $(if $(DAEMON_SRC),$(BUILD)/jaytraild) $(if $(TOOL_SRC),$(BUILD)/jaytrail) \
            $(patsubst standins/%.c,$(BUILD)/%,$(STANDIN_MAINS))
UNITS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(UNIT_SRC))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SRC))
EXAMPLES := $(patsubst lib/%.c,$(BUILD)/examples/%,$(EXAMPLE_SRC))
SYSTEM := $(if $(SYS_SRC),$(BUILD)/tests/system) $(if $(SOAK_SRC),$(BUILD)/tests/soak) \
          $(if $(DEPLOYMENT_SRC),$(BUILD)/tests/deployment)

.PHONY: all programs units system benches examples clean setup
all: programs
programs: $(PROGRAMS)
units: $(UNITS)
system: $(SYSTEM)
benches: $(BENCHES)
examples: $(EXAMPLES)

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c $< -o $@

define lib_rule
$(BUILD)/lib$(1).a: $(call obj,$(call lib_src,$(1)))
	@rm -f $$@
	ar rcs $$@ $$^
endef
$(foreach l,$(LIBS),$(eval $(call lib_rule,$(l))))

$(BUILD)/jaytraild: $(call obj,$(DAEMON_SRC)) $(ARCHIVES)
	$(CC) $(LDFLAGS) -o $@ $(call obj,$(DAEMON_SRC)) $(GROUP) $(PKG_LIBS)
$(BUILD)/jaytrail: $(call obj,$(TOOL_SRC)) $(ARCHIVES)
	$(CC) $(LDFLAGS) -o $@ $(call obj,$(TOOL_SRC)) $(GROUP) $(PKG_LIBS)
.SECONDEXPANSION:
$(BUILD)/fake_%: $(BUILD)/obj/standins/fake_%.o $(call obj,$(STANDIN_COMMON)) \
                 $$(call obj,$$(wildcard standins/$$*_*.c)) $(ARCHIVES)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(GROUP) $(PKG_LIBS)
$(BUILD)/tests/system: $(call obj,$(SYS_SRC) tests/port_block.c) $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(call obj,$(SYS_SRC) tests/port_block.c) $(GROUP) $(PKG_LIBS) -lcunit
$(BUILD)/tests/soak: $(call obj,$(SOAK_SRC) tests/site_call.c tests/port_block.c) $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(call obj,$(SOAK_SRC) tests/site_call.c tests/port_block.c) $(GROUP) $(PKG_LIBS)
DEPLOYMENT_PARTS := $(call obj,$(DEPLOYMENT_SRC) $(filter-out %/main.c,$(SOAK_SRC)) tests/site_call.c tests/port_block.c)
$(BUILD)/tests/deployment: $(DEPLOYMENT_PARTS) $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(DEPLOYMENT_PARTS) $(GROUP) $(PKG_LIBS)
# What tests use of the programs and of the soak.
TESTED := $(call obj,tool/explain.c tests/site_call.c tests/site_rig.c tests/site_crowd.c tests/site_usage.c tests/resent_cut.c tests/resent_job.c tests/resent_non_hubs.c tests/resent_rig.c tests/port_block.c tests/executor_scenario.c tests/unit_runner.c \
                     $(wildcard platform/*.c) $(filter-out %/main.c,$(SOAK_SRC)))
$(BUILD)/tests/test_%: $(BUILD)/obj/tests/test_%.o $(TESTED) $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(TESTED) $(GROUP) $(PKG_LIBS) -lcunit
$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(GROUP) $(PKG_LIBS)
$(BUILD)/examples/%: $(BUILD)/obj/lib/%.o $(ARCHIVES)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $< $(GROUP) $(PKG_LIBS)

clean:
	rm -rf $(BUILD) build-asan build-tsan

.SECONDARY:
-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)
-include mk/*.mk
