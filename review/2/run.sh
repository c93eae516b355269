#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: without the disruption. RELEASE=0: without the planned work beside it.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/harness ] || exit 2
[ -x ../../target/hemlockknot-gateway ] || exit 2
exec ../bin/harness resume .
