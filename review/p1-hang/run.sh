#!/bin/sh
# Plays the case once: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the trouble out.
exec python3 "$(dirname "$0")/case.py"
