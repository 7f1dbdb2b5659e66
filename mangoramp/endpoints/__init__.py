"""Connections to database servers over the PostgreSQL protocol."""
