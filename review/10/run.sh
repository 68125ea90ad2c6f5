#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec python3.11 case.py
