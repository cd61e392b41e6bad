#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Only a verdict ends
# with 1 or 0; anything else, such as a package that is missing, with 2.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps python3 review/spare-versions/case.py
case $? in
10) exit 1 ;;
0) exit 0 ;;
*) exit 2 ;;
esac
