#!/usr/bin/env bash
# Plays the case "late" with stand-ins on loopback addresses. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-3.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/yuccahaven ] && [ -x target/stand3 ] || { echo "not built"; exit 2; }
timeout 115 target/stand3 -case late -program target/yuccahaven -record "$here/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
