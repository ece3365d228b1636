#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec review/bin/harness cuts review/3
