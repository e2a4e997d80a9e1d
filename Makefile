# The commands of the project. Each one installs the tools that it needs.
BIN := $(CURDIR)/bin
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)
SITE ?= tegaki
SEED ?= 1
STEPS ?= 2000
DURATION ?= 1m
FAULTS ?= false
GATEWAYS ?= 3
ENGINES ?= 2

.PHONY: build load demo test lint unit rename bench soak process-soak capacity docs

build:
	go build -o $(BIN)/ ./cmd/...

# Runs gateways, and engines with loaders, as processes under load, with stand-ins for the users'
# platform, and prints what callers saw: make load DURATION=1m GATEWAYS=5 ENGINES=4
load: DURATION = 15s
load:
	go test ./internal/lifecycle -count=1 -timeout 120m -v -run '^TestLoad$$' -args -seed $(SEED) -duration $(DURATION) -gateways $(GATEWAYS) -engines $(ENGINES)

# Runs entries and agents as separate processes under load and faults.
demo: build
	$(BIN)/mimosaward-demo run --binaries $(BIN) --site $(SITE)

# Runs every check: formatter, linter, and all tests with the race detector. Fleets of the
# planned size are tested without it.
test: lint unit

# The tests that KNOWN-RED.txt lists, separated by |.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\) |.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Packages whose largest fleets are tested without the race detector.
LARGE_FLEETS := ./internal/dispatch ./internal/peering ./internal/integration

unit:
	@! grep -sE '^(Test|Hunt) ?' KNOWN-RED.txt || echo 'The entries above are known; tests among them are not run.'
	go test -race -count=1 -timeout 40m $(SKIP) ./...
	go test -count=1 -timeout 40m $(SKIP) $(LARGE_FLEETS)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

$(LINT):
	mkdir -p $(BIN)/tmp
	GOBIN=$(BIN)/tmp go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/tmp/golangci-lint $(LINT)
	rmdir $(BIN)/tmp

# Renames the identifier at a position and every use of it:
# make rename AT=internal/membership/rank.go:12:6 TO=Order
rename: $(GOPLS)
	$(GOPLS) rename -w $(AT) $(TO)

$(GOPLS):
	mkdir -p $(BIN)/tmp
	GOBIN=$(BIN)/tmp go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/tmp/gopls $(GOPLS)
	rmdir $(BIN)/tmp

# make bench prints one JSON object per line for every figure of these tests.
FIGURES := TestBurst|TestTickets|TestCosts|TestMemory|TestPrefixAffinity|TestZoneLeaves

bench:
	@go test -c -o $(BIN)/bench.test ./internal/bench
	@go test -c -o $(BIN)/system.test ./internal/system
	@cd internal/bench && $(BIN)/bench.test -test.run '$(FIGURES)' -test.v -figures | grep -o '{"figure.*'
	@cd internal/system && $(BIN)/system.test -test.run '$(FIGURES)' -test.v -figures | grep -o '{"figure.*'

# Runs the randomized tests: make soak SEED=7 STEPS=5000
soak:
	go test -race ./internal/system -count=1 -timeout 120m -v -run TestSoak -args -seed $(SEED) -steps $(STEPS)

# Runs the randomized test of the real programs: make process-soak SEED=7 DURATION=5m
# With FAULTS=true, processes are also killed and endpoints fail. GATEWAYS and ENGINES, each with a
# loader, set the size of the installation.
process-soak:
	go test -race ./internal/lifecycle -count=1 -timeout 120m -v -run TestProcessSoak -args -seed $(SEED) -duration $(DURATION) -faults=$(FAULTS) -gateways $(GATEWAYS) -engines $(ENGINES)

# Generates docs/CAPACITY.md from docs/measurements.jsonl, which contains the output of
# make bench.
capacity:
	go run ./cmd/mimosaward-capacity docs/measurements.jsonl > docs/CAPACITY.md.new
	mv docs/CAPACITY.md.new docs/CAPACITY.md

# Regenerates the pages that are generated from the code.
docs:
	go test ./internal/settings ./internal/event -run TestReference -count=1 -args -update
