#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin2 ./review/standin2
