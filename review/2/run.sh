#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
exec review/build/case-2 review/2/record.txt
