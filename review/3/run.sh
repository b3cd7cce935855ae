#!/bin/sh
# Case 3: the relay cuts off connections without MOVE while their backend is in the middle of a line. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
