# Entry points for people; CMake and ctest do the work.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = libsoup-3.0-dev libtirpc-dev rpcsvc-proto libargtable2-dev \
	libcmocka-dev libjson-glib-dev libtomlplusplus-dev libxxhash-dev libhttp-parser-dev \
	pkg-config ninja-build curl
CHECK_PACKAGES = clang-format clang-tidy
SOURCES = $(shell git ls-files 'src/*.c' 'src/*.h' 'src/*.cc' 'tests/*.c' \
	'tests/*.h' 'platform/*.c' 'platform/*.h' | grep -v -E '/peer(_xdr)?\.[ch]$$')

# Tests that fail because of a fault that is not fixed yet are passed over.
KNOWN_RED = $(shell sed -n 's/^\(test_[a-z_]*\):.*/\1/p' KNOWN-RED.txt \
	2>/dev/null | paste -sd '|')
CTEST = ctest --output-on-failure -j 4 $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

.PHONY: all packages check-packages build test demo format format-check lint sanitize \
	soak-seeds check-upgrade

all: build

packages:
	tools/install-packages $(PACKAGES)

# The formatter and the linter, which building does not need.
check-packages:
	tools/install-packages $(CHECK_PACKAGES)

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	@echo "known red, passed over: $(KNOWN_RED)"
	cd $(BUILD) && $(CTEST)

demo: build
	tools/demo $(BUILD)

# Seeds of the fault soak that failed once.
soak-seeds: build
	grep -v '^#' tests/soak_seeds.txt | while read -r seed cause; do \
		echo "$$seed: $$cause"; \
		BUILD_DIR=$(BUILD) $(BUILD)/tool_soak --seed $$seed \
			--seconds 10 | tail -2 | grep ' 0 violations' || exit 1; \
	done

# The build in production and this one, side by side.
check-upgrade: build
	tools/check-upgrade $(abspath $(BUILD))

format: check-packages
	clang-format -i $(SOURCES)

format-check: check-packages
	clang-format --dry-run -Werror $(SOURCES)

lint: build check-packages
	printf '%s\n' $(filter %.c,$(SOURCES)) | \
		xargs -P $(JOBS) -n 4 clang-tidy --quiet -p $(BUILD)

sanitize: packages
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DSANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	cd $(BUILD)-sanitize && $(CTEST)
