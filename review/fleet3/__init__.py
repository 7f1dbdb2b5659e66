"""Stand-ins of the third review: servers, store, promotion, clients, processes."""
