#!/bin/sh
# Case 3: clients are never told to move from a draining backend that then goes away. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
