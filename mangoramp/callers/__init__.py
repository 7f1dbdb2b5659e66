"""The callers: HTTP in, one final answer out."""
