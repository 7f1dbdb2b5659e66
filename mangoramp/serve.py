"""Entry point of an instance on the platform: ``python3 -m mangoramp.serve``.

It is separate from the command line to avoid the imports of the other commands.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from returns.result import Success

from . import events
from .control.settings import InstanceSettings
from .instance import Instance
from .platform.settings import load_instance_settings, settings_path
from .signals import install_two_stage_stop_handlers

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2


def serve() -> int:
    """Run an instance until it receives a stop signal.

    Returns:
        The exit code.
    """
    loaded = load_instance_settings(settings_path())
    if not isinstance(loaded, Success):
        print(loaded.failure(), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    cfg = loaded.unwrap()
    events.configure(instance=cfg.name)
    try:
        asyncio.run(_run(cfg))
    except Exception as exc:
        events.emit(
            events.INSTANCE_FAILED,
            name=cfg.name,
            reason=repr(exc),
            place=events.place_of(exc),
        )
        raise
    return EXIT_OK


async def _run(cfg: InstanceSettings) -> None:
    instance = Instance(cfg)
    stopped, _ = install_two_stage_stop_handlers()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: _reload(instance)
    )
    await instance.start()
    await stopped.wait()
    await instance.stop()


def _reload(instance: Instance) -> None:
    loaded = load_instance_settings(settings_path())
    if isinstance(loaded, Success):
        instance.reload(loaded.unwrap())
    else:
        events.emit(events.SETTINGS_REFUSED, reason=loaded.failure())


if __name__ == "__main__":
    sys.exit(serve())
