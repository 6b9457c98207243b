#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2/scenes ] && [ -x target/bramleyspool ] || exit 2
exec target/review-2/scenes silent-watch target/bramleyspool "$here/record.txt"
