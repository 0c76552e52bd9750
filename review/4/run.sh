#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export REVIEW_ROOT=$(cd "$here/../.." && pwd)
exec timeout -k 5 120 "$here/../bin/case-4" "$here/record.txt"
