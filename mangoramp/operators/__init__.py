"""The operators: the table, the keys and the status."""
