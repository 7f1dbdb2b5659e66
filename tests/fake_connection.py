"""Connection to a server that is only opened and closed, for tests of pools."""

from mangoramp.serving.command import ConnectionContext


class Connection:
    """A connection; pools use connections as keys."""

    def __init__(self):
        self.context = ConnectionContext()
        self.is_open = True

    def close(self):
        self.is_open = False
