"""How statements reach servers: pools of connections, placement, retries."""
