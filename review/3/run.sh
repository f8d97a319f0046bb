#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/yuccaliftd ] && [ -x target/review/site ] || exit 2
exec target/review/site settings-change review/3
