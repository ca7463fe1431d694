GO ?= go
PROTOS := api/platform/platform.proto api/control/control.proto api/peer/peer.proto api/operator/operator.proto
BIN := bin
SITE ?= tallowood
SEED ?= 1

.PHONY: build generate fmt lint test bench demo chaos proof measure slopes soak

build:
	$(GO) build -o $(BIN)/ ./cmd/...

generate:
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	for p in $(PROTOS); do \
		PATH="$(CURDIR)/$(BIN)/tools:$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
			--twirp_out=. --twirp_opt=paths=source_relative $$p || exit 1; done

fmt:
	gofmt -l -w $$(git ls-files '*.go')

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test:
	.ci/test

BENCH ?= .
bench:
	$(GO) test -run '^$$' -bench '$(BENCH)' -benchtime 5000x ./internal/scheduler/...
	$(GO) test -run '^$$' -bench '$(BENCH)' -benchtime 100x ./internal/dispatch
	$(GO) test -run '^$$' -bench '$(BENCH)' ./internal/routing
	GOMAXPROCS=4 $(GO) test -run '^$$' -bench '$(BENCH)' -benchtime 100000x ./internal/entry

# PLATFORM=1 shows the nodes on an emulated platform instead.
PLATFORM ?=
demo: build
ifeq ($(PLATFORM),)
	$(BIN)/mimosaspool-demo run --bin $(BIN) --site $(SITE)
else
	$(BIN)/mimosaspool-demo platform --bin $(BIN) --seed $(SEED)
endif

chaos: build
	$(BIN)/mimosaspool-demo chaos --bin $(BIN) --site $(SITE) --seed $(SEED)

# Plays crowds of clients beside faults against real nodes; SOAKS seeds from SEED on.
SOAKS ?= 50
SOAK ?= TestCrowdSoak
soak:
	MIMOSASPOOL_SOAK_SEEDS=$(SOAKS) MIMOSASPOOL_SOAK_FIRST=$(SEED) $(GO) test -count=1 -timeout 60m -run '^$(SOAK)$$' -v ./platform

# Plays generated histories under faults: SEEDS=1000 is the long form.
SEEDS ?= 0
proof:
	$(GO) run ./cmd/mimosaspool-prove --histories $(SEEDS)

# Remakes the measurements and tables of docs/CAPACITY.md.
slopes:
	$(GO) run ./cmd/mimosaspool-slopes

# Replays the traces of the schedulers, and writes the generated ones anew after
# the core's decisions have changed on purpose.
TRACE := $(GO) run ./cmd/mimosaspool-prove trace
.PHONY: traces
traces:
	$(TRACE) --seed 7 --faults "process killed,log down" --host d1-h2 > test/traces/takeover-log-down.jsonl
	$(TRACE) --seed 12 --faults "paused past its lease,host replaced" --host d1-h1 > test/traces/paused-host-replaced.jsonl
	for t in test/traces/*.jsonl; do $(GO) run ./cmd/mimosaspool-replay $$t > $${t%.jsonl}.outcome.json || exit 1; done

# Replays the recorded days under every policy, without faults and with them.
TRACES ?= test/traces/tallowood-day.trace test/traces/agency-day.trace
measure:
	$(GO) run ./cmd/mimosaspool-measure $(TRACES)
