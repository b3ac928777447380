#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Needs target/release/lynxcart and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lynxcart ] && [ -x target/review-2/standin-2 ] || exit 2
target/review-2/standin-2 rolling-restarts review/8
