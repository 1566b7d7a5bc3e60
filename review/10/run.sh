#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccahaven ] && [ -x target/review-stand2 ] || exit 2
exec target/review-stand2 ack review/10
