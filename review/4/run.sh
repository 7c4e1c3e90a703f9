#!/usr/bin/env bash
cd "$(dirname "$0")" && exec ../run_case.sh bad_heartbeat "$PWD"
