#!/bin/bash
# Builds what the scripts of review/12 and review/13 start besides the deploy build. The stand-ins are Python scripts of
# the standard library, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast
for name in ("support-3/leaving_worker.py", "support-3/link.py", "support-3/rig.py", "support-3/worker.py"):
    with open(name) as source:
        ast.parse(source.read(), name)
P
