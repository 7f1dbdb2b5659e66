import asyncio
import inspect

import pytest

from mangoramp import events


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run coroutine tests on an event loop of their own."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    asyncio.run(pyfuncitem.obj(**{n: pyfuncitem.funcargs[n] for n in names}))
    return True


@pytest.fixture(autouse=True, scope="session")
def _quiet_log():
    events.configure(level="ERROR", json=False)
