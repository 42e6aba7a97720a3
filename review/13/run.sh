#!/usr/bin/env bash
# Plays case 13; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && exec python3 review/13/advice.py
