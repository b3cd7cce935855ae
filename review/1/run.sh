#!/bin/sh
# Case 1: bad clients make the relay use more memory than it has: it is killed, with all open connections. See claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
