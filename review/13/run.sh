#!/usr/bin/env bash
# Plays case 15; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/15/advice.py
