"""Commands for operators: table, keys, status and log analysis."""
