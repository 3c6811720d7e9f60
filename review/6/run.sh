#!/bin/sh
# Case 6: a primary that is back with all acknowledged commits is not asked, and a replica that lacks them is promoted.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run; TROUBLE=0 makes no
# disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bergamottrack ] && [ -x target/review-2/stand ] || exit 2
exec target/review-2/stand returned-primary review/6/record.txt
