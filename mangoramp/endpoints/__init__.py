"""The database servers, spoken to in the PostgreSQL protocol."""
