# `make demo` and `make test` install packages and build first if needed.
PACKAGES = cmake ninja-build g++ ccache clang-format clang-tidy \
    libpoco-dev libnghttp2-dev libprotobuf-dev libcli11-dev \
    libgoogle-glog-dev libexpected-dev libtomlplusplus-dev libboost-dev \
    libssl-dev prometheus-cpp-dev libgtest-dev libgmock-dev librapidcheck-dev \
    clang libclang-rt-14-dev
BUILD = build
JOBS ?= $(shell nproc)
KNOWN_RED := $(shell scripts/known-red --regex)

.PHONY: deps build test demo soak fuzz docs format schema

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || scripts/install-packages $(PACKAGES)

build: deps
	cmake -S . -B $(BUILD) -G Ninja >$(BUILD).cmake.log || \
	    (cat $(BUILD).cmake.log; exit 1)
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS) \
	    $(if $(KNOWN_RED),-E '$(KNOWN_RED)')

demo: build
	scripts/demo $(BUILD)/bin

# Runs the random fault tests with 10,000 runs instead of the usual number.
soak: build
	CYCLAMENRUN_SOAK_RUNS=10000 $(BUILD)/bin/test_faults \
	    --gtest_filter='*random*'

# Runs each fuzz target for a minute, seeded with the current date.
fuzz: deps
	scripts/fuzz 60 $(shell date +%Y%m%d)

# Regenerates the tables of docs/FAULTS.md.
docs: build
	CYCLAMENRUN_WRITE_DOCS=1 $(BUILD)/bin/test_faults \
	    --gtest_filter='faults_page.*'

format:
	scripts/format

# Only needed after a schema change, since generated code is committed.
schema:
	@command -v protoc >/dev/null || scripts/install-packages protobuf-compiler
	cd schema && protoc --cpp_out=generated *.proto
