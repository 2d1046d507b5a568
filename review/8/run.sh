#!/bin/sh
# Runs the case from the repository's root, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/celerythreadd ] || exit 2
exec target/review-2/standin new-machines review/8
