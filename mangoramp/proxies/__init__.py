"""Communication between proxies: requests and heartbeats over pynng."""
