GO ?= go
PREFIX ?= /usr/local
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = $(GO) run golang.org/x/tools/gopls@v0.23.0

.PHONY: build install test lint fmt rename generate demo bench cost

build:
	$(GO) build -o bin/ . ./crocusbench

# Runs a small fleet on loopback and checks answers and bills. See README.md.
demo: build
	bin/crocusbench demo

# Installs the one binary that is shipped.
install:
	$(GO) build -trimpath -o bin/crocusline .
	install -D -m 0755 bin/crocusline $(DESTDIR)$(PREFIX)/bin/crocusline

test:
	$(GO) test ./...

# Prints each measure of the policy under load and faults with its target.
bench:
	$(GO) test -count=1 -v ./tests/policy

# Compares the path's cost with calls to the engine itself, in one run.
cost: build
	bin/crocusbench cost

lint:
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

# Renames an identifier with all its uses: make rename AT=FILE:LINE:COLUMN TO=NAME
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# Generated code is committed. This target is for those who change the sources.
generate:
	mkdir -p bin
	$(GO) build -modfile=tools/go.mod -o bin/ connectrpc.com/connect/cmd/protoc-gen-connect-go google.golang.org/protobuf/cmd/protoc-gen-go golang.org/x/tools/cmd/stringer github.com/bufbuild/buf/cmd/buf
	PATH=$(CURDIR)/bin:$$PATH buf generate
	PATH=$(CURDIR)/bin:$$PATH $(GO) generate ./...

# Seeded faults in virtual time. SEEDS is the number of seeds, FROM the first.
FROM ?= 0
.PHONY: soak
soak: SEEDS ?= 10000
soak:
	$(GO) test ./tests/simulation -run TestSeeds -count=1 -timeout 6h -v -args -seeds=$(SEEDS) -from=$(FROM)

# Overspend and false refusals of three budget policies on one workload.
.PHONY: budgets
budgets:
	$(GO) test ./tests/simulation -run TestBudgetPolicies -count=1 -v

# Faults from outside on real gateways. SEED is the first seed, SEEDS their number.
SEED ?= 1
GATEWAYS ?= 3
.PHONY: faults
faults: SEEDS ?= 1
faults:
	$(GO) test ./tests/faults -run TestFaults -count=1 -timeout 6h -v -args -from=$(SEED) -seeds=$(SEEDS) -gateways=$(GATEWAYS)

# Gateways with little processor time, checked against what servers ran. BINARY plays an earlier build.
.PHONY: scarce
scarce: SEEDS ?= 1
scarce: SERVERS ?= 18
scarce: LENGTH ?= 20s
scarce:
	$(GO) test ./tests/faults -run TestScarceProcessor -count=1 -timeout 6h -v -args -from=$(SEED) -seeds=$(SEEDS) -gateways=$(GATEWAYS) -servers=$(SERVERS) -length=$(LENGTH) -binary=$(BINARY)
