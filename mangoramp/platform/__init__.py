"""Clients and protocols of the platform that runs mangoramp."""
