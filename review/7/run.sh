#!/bin/sh
# Case 7: a replica that is known to lack acknowledged commits is promoted after four seconds.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run; TROUBLE=0 makes no
# disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bergamottrack ] && [ -x target/review-2/stand ] || exit 2
exec target/review-2/stand lost-commit review/7/record.txt
