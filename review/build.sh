#!/bin/sh
# Builds the stand-ins of the cases into review/bin/. Needs Go and no network: the module has
# no dependencies. The daemon itself is built by the command of the deploy file.
cd "$(dirname "$0")/harness" || exit 2
exec go build -o ../bin/harness .
