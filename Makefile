SHELL := /bin/bash
export GOBIN := $(CURDIR)/bin
LINT_VERSION := v2.15.0

.PHONY: build tools generate

build:
	go build -o bin/ . ./standin/...

tools: bin/go-jsonschema bin/msgp bin/settingsgen bin/golangci-lint

bin/go-jsonschema bin/msgp: tools/go.mod
	cd tools && go install github.com/atombender/go-jsonschema github.com/tinylib/msgp

bin/settingsgen: tools/settingsgen/main.go tools/settingsgen/settings.tmpl
	cd tools && go install ./settingsgen

bin/golangci-lint:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

generate: bin/go-jsonschema bin/msgp bin/settingsgen
	go generate ./schema

.PHONY: check fmt lint test race thin

# check is what .ci/run calls.
check: tools lint generated race

fmt: bin/golangci-lint
	bin/golangci-lint fmt ./...

lint: bin/golangci-lint
	bin/golangci-lint fmt --diff ./...
	bin/golangci-lint run ./...

.PHONY: generated
generated: generate
	git diff --exit-code -- schema

test: check

race:
	go test -race -count=1 ./...

thin: build
	scripts/thin.sh

.PHONY: slopes
# slopes prints the figures of docs/CAPACITY.md.
slopes: build
	bin/standin-slopes
