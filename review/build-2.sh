#!/usr/bin/env bash
# Compiles the stand-ins of the cases 5 to 8; they need Python alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2 5 6 7 8
