#!/bin/sh
# The stand-ins are Python programs without dependencies: nothing is built, but
# what runs them is checked. The nodes are built by the deploy file's command.
cd "$(dirname "$0")" || exit 1
python3 - <<'EOF' || exit 1
import ast, pathlib, sys
import asyncio, json, tomllib
for file in [pathlib.Path("standins.py"), *pathlib.Path(".").glob("*/run.py")]:
    ast.parse(file.read_text(), str(file))
EOF
echo "review: stand-ins are ready"
