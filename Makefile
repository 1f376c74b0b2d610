# endiveroute: commands for developers. "make demo" and "make test" are all that
# a newcomer needs.

MODULES := . entry endive stand meter soak
GOTOOL  := GOWORK=off go tool -modfile=$(CURDIR)/tools/go.mod

SEED ?= 1
LAST ?= $(SEED)

.PHONY: all build soak demo test unit explore format lint vet model bench load generate

all: build

build:
	@mkdir -p bin
	@go build -o bin/ ./entry ./endive ./stand ./meter ./soak

demo: build
	@scripts/demo.sh

# test runs all checks that a change must pass.
test: format lint vet unit model

unit:
	@scripts/unit.sh

# explore runs the tests with a new seed; a failure prints it.
explore:
	@scripts/unit.sh 0

format:
	@scripts/format.sh

lint:
	@scripts/lint.sh

vet:
	@go vet $(addsuffix /...,$(addprefix ./,$(MODULES)))

model:
	@scripts/model.sh

# soak runs the fault soak for a seed, or for those from SEED to LAST.
soak:
	@scripts/soak.sh $(SEED) $(LAST)

load: build
	@scripts/load.sh

bench:
	@scripts/bench.sh

generate:
	@scripts/generate.sh
