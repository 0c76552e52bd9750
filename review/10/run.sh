#!/usr/bin/env bash
# Starts the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0: the same without the disruption.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")" || exit 2
program=../standins-2/bin/deadly_case
[ -x "$program" ] && [ -x ../../target/bin/cyclamenrun-gateway ] || exit 2
timeout -k 1 118 "$program" "$(cd ../.. && pwd)" "$PWD"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
