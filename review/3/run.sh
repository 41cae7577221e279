#!/usr/bin/env bash
# Exits with 1 if a flow of a live host is reset, 0 if none is, and 2 if the case could not run. TROUBLE=0 leaves the
# odd report out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/plantainseamd ] && [ -x target/review-driver ] || exit 2
exec target/review-driver odd-report target/plantainseamd review/3/record.txt
