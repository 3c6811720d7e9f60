#!/bin/sh
# The second way of the claim, with the same exit codes as run.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/bergamottrack ] || exit 2
target/review/stand failover review/1/record-busy.txt
