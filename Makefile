# Targets for people; .ci/run calls `make check`.
GO ?= go
PROTO_OPT = module=github.com/plantainramp/plantainramp
.PHONY: build demo demo-log test lint check generate

build:
	$(GO) build -o bin/ ./cmd/...

# demo starts nodes on a stand-in of the users' platform, as separate processes, and prints what was seen.
demo: build
	bash scripts/demo-platform.sh

# demo-log does the same with the earlier log service and tickets.
demo-log: build
	bash scripts/demo.sh

test:
	bash scripts/test.sh

lint:
	@test -z "$$($(GO) tool gofumpt -l cmd pkg internal acceptance platform soak overlimit)" || { $(GO) tool gofumpt -l cmd pkg internal acceptance platform soak overlimit; echo 'not formatted by gofumpt'; exit 1; }
	$(GO) vet ./...
	$(GO) tool revive -set_exit_status -exclude ./rpc/... ./...

check: lint test

# generate needs protoc, protoc-gen-go and protoc-gen-twirp; the build does not.
generate:
	protoc -I rpc/linkrpc --go_out=. --go_opt=$(PROTO_OPT) rpc/linkrpc/link.proto
	protoc -I rpc/peerrpc --go_out=. --go_opt=$(PROTO_OPT) --twirp_out=. --twirp_opt=$(PROTO_OPT) rpc/peerrpc/peer.proto
