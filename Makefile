# Builds the kumquatthread binary, the stand-ins, the tests, the soak and the
# benchmarks.
#
#   make                       optimised build in build/release
#   make SANITIZE=address      build in build/address with the address and
#                              undefined-behaviour sanitizers
#   make SANITIZE=thread       build in build/thread with the thread sanitizer
#   make fuzz                  runs each fuzzer of test/fuzz for FUZZ_RUNS inputs
#   make proto                 regenerates proto/*.pb-c.[ch]; needs protoc-c

SANITIZE ?= none

# Checks of the sizes of arrays and of the stack, as distributions build with.
HARDENING = -U_FORTIFY_SOURCE -D_FORTIFY_SOURCE=2 -fstack-protector-strong
CC = gcc
PACKAGES = glib-2.0 jansson libcurl libprotobuf-c liburcu-mb yaml-0.1 argtable2 \
           libxxhash libuv zlib

ifeq ($(SANITIZE),address)
  BUILD = build/address
  SANITIZE_FLAGS = -fsanitize=address,undefined -fno-sanitize-recover=all -O1
else ifeq ($(SANITIZE),thread)
  BUILD = build/thread
  SANITIZE_FLAGS = -fsanitize=thread -O1
else ifeq ($(SANITIZE),fuzz)
  BUILD = build/fuzz
  CC = clang
  SANITIZE_FLAGS = -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -O1
else
  BUILD = build/release
  SANITIZE_FLAGS = -O2 $(HARDENING)
endif

WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
           -Wmissing-prototypes -Wpointer-arith -Wvla -Wformat=2
ifeq ($(CC),gcc)
  WARNINGS += -Wformat-overflow=2 -Wformat-truncation=1
endif
CPPFLAGS = -D_GNU_SOURCE -DRCU_MB -Isrc -Iproto -I. $(shell pkg-config --cflags $(PACKAGES))
CFLAGS = -std=gnu17 -g $(SANITIZE_FLAGS) $(WARNINGS) -MMD -MP -pthread
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lcivetweb -lhttp_parser -lcmocka -lm -pthread

PROTO_SOURCES = $(wildcard proto/*.pb-c.c)
CORE_SOURCES = $(wildcard src/core/*.c) src/base/error.c
SHELL_SOURCES = $(filter-out src/core/% src/base/error.c src/cli/main.c,$(wildcard src/*/*.c)) \
                $(wildcard platform/*.c)
STANDIN_SOURCES = $(wildcard standin/*.c)
STANDIN_MAINS = $(filter %_main.c,$(STANDIN_SOURCES))
STANDIN_LIBRARY = $(filter-out %_main.c,$(STANDIN_SOURCES))
SOAK_SOURCES = $(filter-out soak/soak.c,$(wildcard soak/*.c))
TEST_SOURCES = $(wildcard test/*_test.c)
TEST_HELPERS = $(filter-out %_test.c,$(wildcard test/*.c))
BENCH_SOURCES = $(wildcard bench/*.c)
FUZZ_SOURCES = $(wildcard test/fuzz/*_fuzz.c)
FUZZ_RUNS ?= 20000
EXAMPLE_SOURCES = $(wildcard examples/*.c)

object = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
CORE_LIBRARY = $(BUILD)/libkumquatthread-core.a
SHELL_LIBRARY = $(BUILD)/libkumquatthread.a
LIBRARIES = $(SHELL_LIBRARY) $(CORE_LIBRARY)

BINARY = $(BUILD)/kumquatthread
STANDINS = $(patsubst standin/%_main.c,$(BUILD)/standin-%,$(STANDIN_MAINS))
TESTS = $(patsubst test/%.c,$(BUILD)/test/%,$(TEST_SOURCES))
SOAK = $(BUILD)/soak/soak
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SOURCES))
FUZZERS = $(patsubst test/fuzz/%_fuzz.c,$(BUILD)/fuzzer/%,$(FUZZ_SOURCES))
EXAMPLES = $(patsubst examples/%.c,$(BUILD)/examples/%,$(EXAMPLE_SOURCES))

all: $(BINARY) $(STANDINS) $(TESTS) $(SOAK) $(BENCHES) $(EXAMPLES)

$(BUILD)/obj/proto/%.o: WARNINGS = -w

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

$(CORE_LIBRARY): $(call object,$(CORE_SOURCES) $(PROTO_SOURCES)) Makefile
	@mkdir -p $(@D)
	rm -f $@ && ar rcs $@ $(filter %.o,$^)

$(SHELL_LIBRARY): $(call object,$(SHELL_SOURCES)) Makefile
	@mkdir -p $(@D)
	rm -f $@ && ar rcs $@ $(filter %.o,$^)

link = $(CC) $(CFLAGS) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS)

$(BINARY): $(call object,src/cli/main.c) $(LIBRARIES)
	$(link)

$(BUILD)/standin-%: $(BUILD)/obj/standin/%_main.o $(call object,$(STANDIN_LIBRARY)) $(LIBRARIES)
	$(link)

$(BUILD)/test/%: $(BUILD)/obj/test/%.o $(call object,$(TEST_HELPERS) $(SOAK_SOURCES) $(STANDIN_LIBRARY)) $(LIBRARIES)
	@mkdir -p $(@D)
	$(link)

$(SOAK): $(call object,soak/soak.c $(SOAK_SOURCES) $(STANDIN_LIBRARY)) $(LIBRARIES)
	@mkdir -p $(@D)
	$(link)

$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(call object,$(STANDIN_LIBRARY)) $(LIBRARIES)
	@mkdir -p $(@D)
	$(link)

$(BUILD)/examples/%: $(BUILD)/obj/examples/%.o $(LIBRARIES)
	@mkdir -p $(@D)
	$(link)

$(BUILD)/fuzzer/%: $(BUILD)/obj/test/fuzz/%_fuzz.o $(LIBRARIES)
	@mkdir -p $(@D)
	$(link) -fsanitize=fuzzer

fuzzers: $(FUZZERS)

# Runs the same inputs each time: the seed is fixed and the corpus committed.
fuzz:
	$(MAKE) SANITIZE=fuzz fuzzers
	tools/fuzz $(FUZZ_RUNS) $(patsubst test/fuzz/%_fuzz.c,%,$(FUZZ_SOURCES))

proto:
	cd proto && protoc-c --c_out=. *.proto

FORMATTED = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*/*.[ch] platform/*.[ch] standin/*.[ch] soak/*.[ch] test/*.[ch] test/fuzz/*.[ch] bench/*.[ch] examples/*.[ch]))
LINTED = $(filter %.c,$(FORMATTED))

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run -Werror $(FORMATTED)

lint: lint-tidy lint-cppcheck lint-core

lint-tidy:
	@mkdir -p $(BUILD)
	printf '%s\n' $(LINTED) | xargs -P 12 -n 1 sh -c \
	  'clang-tidy --quiet "$$@" -- -std=gnu17 $(CPPFLAGS) 2>/dev/null || echo "failed: $$*"' sh \
	  > $(BUILD)/tidy.txt
	@! grep -E 'error:|warning:|^failed:' -A4 $(BUILD)/tidy.txt

lint-cppcheck:
	cppcheck --quiet --error-exitcode=1 --std=c11 -j 8 --inline-suppr \
	  --enable=warning,performance,portability --suppress=missingInclude \
	  --suppress=unknownMacro -Isrc $(LINTED)

# The core library must not use I/O, threads, the clock or a random seed of its
# own; this checks its undefined symbols.
lint-core: $(CORE_LIBRARY)
	@! nm -A $(CORE_LIBRARY) | grep -E ' U (socket|connect|send|recv|read|write|open|fopen|clock_gettime|gettimeofday|time|rand|random|pthread_[a-z_]+|g_get_(real|monotonic)_time|g_random_[a-z_]+|g_rand_new)$$'

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.SECONDARY:
.PHONY: all proto fuzz fuzzers format format-check lint lint-tidy lint-cppcheck lint-core clean
