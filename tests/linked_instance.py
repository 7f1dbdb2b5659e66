"""Runs an instance whose network to other instances is under a test's control.

It stands for what lies between machines: its connections to others go through relays
of the test, and its datagrams to some ports are lost. The file that ``LINKS_VARIABLE``
names holds the port of the relay for each port of another instance (``relays``), and
the ports to which datagrams are lost (``lost``).
"""

import json
import os
import sys
from pathlib import Path

from mangoramp import serve
from mangoramp.control.peers import Peers
from mangoramp.instance import Instance

LINKS_VARIABLE = "SOAK_LINKS"


def main():
    path = Path(os.environ[LINKS_VARIABLE])
    link_address, send_datagrams = Instance._link_address, Peers._send_datagrams

    def relayed_address(self, name):
        url = link_address(self, name)
        if url is None:
            return None
        prefix, _, port = url.rpartition(":")
        relays = json.loads(path.read_text())["relays"]
        return f"{prefix}:{relays.get(port, port)}"

    def send_some(self, report, addresses):
        lost = set(json.loads(path.read_text())["lost"])
        send_datagrams(self, report, [a for a in addresses if a[1] not in lost])

    Instance._link_address, Peers._send_datagrams = relayed_address, send_some
    return serve.serve()


if __name__ == "__main__":
    sys.exit(main())
