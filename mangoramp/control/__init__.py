"""Configuration, server registry and peer state of an instance, and failover."""
