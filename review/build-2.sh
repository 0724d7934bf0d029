#!/bin/sh
# Builds the programs of the project as the deploy file says, and the stand-ins of the
# second review.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go -C review/standin-2 build -o ../../target/standin2 .
