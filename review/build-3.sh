#!/bin/sh
# Builds the stand-ins and the cases of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness-3"
go build -o ../../target/review3 .
