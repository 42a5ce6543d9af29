#!/usr/bin/env bash
# Generates docs/SETTINGS.md from the --print-settings output of the programs.
# Usage: update-manual.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
{
    cat <<'TEXT'
# Settings

A settings file is INI text: `[section]` lines, `key = value` lines, comments after `;`.
`cyclamen-entry FILE` and `cyclamen-agent FILE` check the whole file before they open a
socket, report every fault with file, line, key and remedy, and exit with status 2.
`--check-settings` does only that.  The tables come from the programs
(`--print-settings`); `Utilities/update-manual.sh` writes this page.

`cyclamen-platform-entry` takes no INI file: it reads the platform's JSON settings, whose
path is in `CYCLAMENSHORE_CONFIG`, checks them in the same way, ignores fields that it does
not know, and reads them again on SIGHUP and when the file changes.  `Limits.MemoryMb` and
`Limits.MaxFds` bound what it holds for clients (PLATFORM, "What a request may meet"); both
are optional, and read once, at the start.  If the list `Contracts` contains `pressure`, requests
are spread by the expected load of the servers ([design/even-load.md](design/even-load.md));
without it, this is so for services whose servers send the fourth figure of the load header.

## cyclamen-entry

TEXT
    "$build/Source/cyclamen-entry" --print-settings
    printf '\n## cyclamen-agent\n\n'
    "$build/Source/cyclamen-agent" --print-settings
    printf '\n## cyclamen-load\n\nAn experiment file; `deploy/experiments` has one for each pattern.\n\n'
    "$build/Source/cyclamen-load" --print-settings
} > docs/SETTINGS.md
