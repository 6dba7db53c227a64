#!/bin/sh
# Builds the stand-ins of the review's scripts: one program, of the standard library alone.
set -e
cd "$(dirname "$0")/standin"
exec go build -o ../../target/review-standin .
