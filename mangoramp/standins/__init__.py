"""Stand-ins for the platform and the database servers, for development and tests."""
