"""Statement execution: sessions, server selection, connection pools and retries."""
