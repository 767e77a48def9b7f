#!/usr/bin/env bash
# Builds the stand-ins that scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
