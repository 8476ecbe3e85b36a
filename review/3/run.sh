#!/bin/sh
# Runs the case from the root of the repository. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-3 ] && [ -x target/release/shard-broker ] || { echo "not built"; exit 2; }
exec review/bin/case-3
