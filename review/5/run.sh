#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec review/bin/harness silent review/5
