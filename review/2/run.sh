#!/bin/sh
# Case 2: a request that waits through a replacement of the process is never answered. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
