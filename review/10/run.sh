#!/bin/sh
# The test of this case, see claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../peers-2/run.sh" "$(dirname "$0")"
