"""What callers hold: sessions, their values, prepared statements and transactions."""
