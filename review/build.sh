#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they need only Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))'
