#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts that need its standard library alone, so there is nothing
# to compile: this checks that they can be read and that the relay of the deploy file's build is there.
set -euo pipefail
cd "$(dirname "$0")"
scripts=(lib-2/*.py)
for number in 6 7 8 9 10; do
  [ ! -f "$number/case.py" ] || scripts+=("$number/case.py")
done
python3 -B - "${scripts[@]}" <<'PY'
import sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(f"{path}: can be read")
PY
test -x ../build/cherryrail || { echo "build/cherryrail is missing: run the deploy file's build first" >&2; exit 1; }
