# cowsliptally: entry points. Only Go and make are needed.

LINTER_VERSION := v2.15.0
BUF_VERSION := v1.57.0
GENERATOR_VERSION := v1.36.12
CONNECT_VERSION := v1.21.1
GOBIN := $(shell go env GOPATH)/bin
LINTER := $(GOBIN)/golangci-lint
SEED ?= 1

.PHONY: all build demo test check fuzz lint format generate bench soak slopes install-tools clean

all: build

# Builds every program into bin/.
build:
	go build -o bin/ ./...

# Runs the whole path as separate processes under load and faults.
demo: build
	./bin/demo --seed $(SEED)

# Runs all tests with the race detector.
test:
	go test -race -timeout 20m ./...

# Runs the fuzz targets for a few seconds each. A time limit makes the toolchain fail now and then with
# "context deadline exceeded" and without an input, so a number of runs is set. Minimising is off: which lines
# a connection's goroutines cover differs from run to run.
fuzz:
	go test ./heads/weigher -run '^$$' -fuzz FuzzHead -fuzztime 200000x -fuzzminimizetime 1x
	go test ./heads/discarder -run '^$$' -fuzz FuzzDiscarder -fuzztime 300000x -fuzzminimizetime 1x
	go test ./heads/gatekeeper -run '^$$' -fuzz FuzzHeads -fuzztime 15000x -fuzzminimizetime 1x

# Checks format, linter, go.mod and the generated code.
check: install-tools
	$(LINTER) fmt --diff
	$(LINTER) run ./...
	go mod tidy -diff
	PATH="$(GOBIN):$$PATH" buf lint
	PATH="$(GOBIN):$$PATH" ./tools/generated

# Formats the code.
format: install-tools
	$(LINTER) fmt

# Regenerates gen/ from schema/.
generate: install-tools
	PATH="$(GOBIN):$$PATH" buf generate

# Runs the benchmarks; speeds are compared as ratios in one run.
bench:
	go test -run '^$$' -bench . -benchmem ./...

# Prints the slopes that docs/CAPACITY.md is worked out from.
slopes:
	go run ./slopes

# Runs long seeded failure schedules against real processes: the product's own nodes,
# then those of the platform.
soak: build
	go test -count=1 -timeout 60m ./proof -run TestSoak -soak -seed $(SEED) -v
	go test -count=1 -timeout 60m ./platform/starter -run TestSoak -soak -seed $(SEED) -v

install-tools:
	@[ -x $(LINTER) ] && $(LINTER) version 2>/dev/null | grep -q "$(LINTER_VERSION:v%=%)" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)
	@./tools/pinned buf $(BUF_VERSION) github.com/bufbuild/buf/cmd/buf
	@./tools/pinned protoc-gen-go $(GENERATOR_VERSION) google.golang.org/protobuf/cmd/protoc-gen-go
	@./tools/pinned protoc-gen-connect-go $(CONNECT_VERSION) connectrpc.com/connect/cmd/protoc-gen-connect-go

clean:
	rm -rf bin
