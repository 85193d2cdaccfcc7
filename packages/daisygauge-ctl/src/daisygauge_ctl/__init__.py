"""The operators' command line ``daisygaugectl``."""
