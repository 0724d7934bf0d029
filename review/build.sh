#!/bin/sh
# Builds the stand-ins of the review's scripts. Needs Go only: no module, no network.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o ../../target/review/standin .
