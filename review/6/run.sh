#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0
# nothing is disrupted. The record is written beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin2 ] && [ -x target/saltreel-data ] && [ -x target/saltreel-control ] || exit 2
exec target/standin2 gone-store review/6
