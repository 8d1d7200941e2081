#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs; they need Python 3.11 and no packages, and nothing is compiled.
cd "$(dirname "$0")" || exit 1
python3 -c 'import asyncio; asyncio.timeout' || exit 1
for file in standin/*.py */run.py; do python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1; done
