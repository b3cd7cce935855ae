# Common development tasks. CMakePresets.json holds the configuration of each build folder.
CONFIG ?= $(EDGE_CONFIG)
SOURCES = $(shell git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp')

# Folders and files in which CI enforces .clang-tidy. The goal is all of src and tests.
LINTED = src tests/support

# Folder of the customer's benchmark kit, if it is available.
KIT ?= ../given/kit
BENCH_FILES = real.json wire.json unlock.txt

.PHONY: build test asan lint lint-all check-tools format run clean bench-files soak

build:
	cmake --preset release
	cmake --build --preset release

# The test command that the README gives.
test:
	cmake --preset tests
	cmake --build --preset tests
	tools/run_tests.py build-tests

asan:
	cmake --preset sanitizers
	cmake --build --preset sanitizers
	tools/run_tests.py build-asan

lint:
	@clang-format --dry-run --Werror $(SOURCES)
	cmake --preset tests
	tools/lint.py build-tests $(LINTED)

# Lints all files, also those in which .clang-tidy is not enforced yet.
lint-all:
	cmake --preset tests
	tools/lint.py build-tests src tests

# Tests the tools and the soak test's oracle, and checks the includes against docs/architecture.md.
check-tools:
	set -e; for test in tests/tools/*_test.py tests/soak/*_test.py; do python3 $$test; done

# Soak test: runs real relay processes under several faults at once. Usage: make soak SEED=1 COUNT=5.
SEED ?= 1
COUNT ?= 1
soak: build
	cmake --preset tests
	cmake --build --preset tests --target cherryrail_fault_shim
	tests/soak/soak.py --seed $(SEED) --count $(COUNT)

format:
	clang-format -i $(SOURCES)

# Copies the files that the benchmark needs into deploy/sites; they are not kept in the repository.
bench-files:
	cp $(addprefix $(KIT)/more/mass/other/,$(BENCH_FILES)) deploy/sites/
	chmod u+w $(addprefix deploy/sites/,$(BENCH_FILES))

run: build
	build/cherryrail serve --config "$(CONFIG)"

clean:
	rm -rf build build-tests build-asan
