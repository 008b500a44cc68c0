#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks that each defect of Meta/defects still applies to the code without guessing its place, so that Meta/bite.sh can put it back.
set -euo pipefail
cd "$1"
failed=0
for defect in Meta/defects/*.patch; do
    patch --dry-run --fuzz=0 --silent -p1 <"$defect" >/dev/null || {
        echo "does not apply: $defect"
        failed=1
    }
done
exit $failed
