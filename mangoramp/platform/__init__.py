"""The platform: an object API with versions, conditional updates and watches."""
