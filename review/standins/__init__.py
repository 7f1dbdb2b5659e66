"""Stand-ins for the platform, the database servers and the callers.

They use the standard library alone and follow the platform's published pages.
"""
