import asyncio
import inspect
import os
from pathlib import Path

import pytest

from mangoramp import events

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(config, items):
    """Deselect the tests listed in KNOWN-RED.txt unless KNOWN_RED=run is set."""
    if os.environ.get("KNOWN_RED") == "run":
        return
    names = {line.split(" | ")[0] for line in known_red()}
    deselected = [item for item in items if item.nodeid in names]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in names]


def pytest_terminal_summary(terminalreporter):
    """Print the entries of the deselected tests."""
    for line in known_red():
        terminalreporter.write_line(f"KNOWN RED: {line}")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run each coroutine test in a new event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    asyncio.run(pyfuncitem.obj(**{n: pyfuncitem.funcargs[n] for n in names}))
    return True


@pytest.fixture(autouse=True, scope="session")
def _quiet_log():
    events.configure(level="ERROR", json=False)
