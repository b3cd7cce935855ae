#!/bin/sh
# Builds the stand-ins of the cases: the bad client of case 1 is C++, the others are Python with the standard library alone.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
"${CXX:-g++}" -O2 -std=c++20 -Wall -Wextra -o 1/bad_client 1/bad_client.cpp || exit 1
exec python3 - lib/*.py [0-9]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
