#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules for Node.js without dependencies; this checks that each can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
