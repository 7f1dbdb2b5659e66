"""The other proxies: requests and heartbeats over pynng."""
