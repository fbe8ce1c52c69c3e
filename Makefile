# Thin front for CMake. See INSTALL.md.

PRESET ?= dev
JOBS ?= $(shell nproc)
BUILD = build/$(PRESET)

.PHONY: all build deps test demo bench capacity fuzz proofs format check-format lint generated check-generated clean

all: build

# Installs the packages that are missing (Debian).
deps:
	@src/cmake/install-packages.sh

$(BUILD)/build.ninja:
	cmake --preset $(PRESET)

build: deps
	@$(MAKE) --no-print-directory $(BUILD)/build.ninja
	cmake --build --preset $(PRESET) -j $(JOBS)

test: build
	testsuite/run-tests.sh $(PRESET)

demo: build
	$(BUILD)/testsuite/demo/tack-demo

bench: build
	testsuite/run-benches.sh $(BUILD)

# Measures and puts the figures into docs/CAPACITY.md.
capacity: build
	testsuite/capacity/update-page.sh $(BUILD)

# Decoders of what clients send, with sanitizers; FUZZ_ROUNDS and FUZZ_SEED
# choose a longer run.
fuzz: deps
	@$(MAKE) --no-print-directory PRESET=sanitize build/sanitize/build.ninja
	cmake --build --preset sanitize -j $(JOBS) --target tack_node_parts_test
	UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 \
		build/sanitize/src/libnode/tack_node_parts_test --gtest_filter='decoder_fuzz.*'

# Checks that the tests which docs/PROOFS.md names exist.
proofs: build
	testsuite/check-proofs.sh $(BUILD)

format:
	src/cmake/format.sh

check-format:
	src/cmake/format.sh --check

lint: $(BUILD)/build.ninja
	src/cmake/lint.sh $(BUILD) $(JOBS)

generated:
	src/proto/regenerate.sh

check-generated:
	src/proto/regenerate.sh --check

clean:
	rm -rf build
