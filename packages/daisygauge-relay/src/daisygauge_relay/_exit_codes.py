"""Exit codes of balancers and agents of relayed flows."""

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_MISUSE = 2
