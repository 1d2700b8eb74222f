#!/bin/sh
# The stand-ins in review/lib-2 are plain modules that need no build; checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
