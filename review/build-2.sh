#!/bin/bash
# Builds the stand-ins of the second review's scripts. They use the standard library
# alone, so that no network is needed.
set -e
cd "$(dirname "$0")/probe2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/probe2 .
