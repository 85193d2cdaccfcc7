"""Exit codes of a relayed process."""

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_MISUSE = 2
