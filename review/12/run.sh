#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/hemlockknot-gateway ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review3 origin review/12
