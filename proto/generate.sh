#!/bin/sh
# Makes the protobuf types anew; needs protoc and protoc-gen-go.
set -e
cd "$(dirname "$0")/.."
protoc --proto_path=proto --go_out=. --go_opt=module=saltreel proto/settings.proto proto/configuration.proto
