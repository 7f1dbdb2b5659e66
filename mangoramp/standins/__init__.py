"""Stand-ins for the platform and for database servers, for development and tests."""
