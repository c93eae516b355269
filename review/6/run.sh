#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/cases ] || exit 2
exec ../../target/review-2/cases 6 ../../target/hemlockknot-gateway record.txt
