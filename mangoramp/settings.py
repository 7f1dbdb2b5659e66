"""The settings of a proxy, read from YAML and checked before anything starts."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import cattrs
import yaml
from cattrs.gen import make_dict_structure_fn
from returns.result import Failure, Result, Success


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the process logs.

    Attributes:
        level: The lowest level that is written.
        json: One JSON object a line if true, else text.
    """

    level: str = "INFO"
    json: bool = True


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """The settings of one proxy.

    Attributes:
        name: The instance's name, unique in the fleet.
        failure_domain: Where the instance runs.
        platform: The platform's address, as ``http://host:port``.
        listen_host: Address for callers.
        listen_port: Port for callers.
        metrics_port: Port for metrics, on the same address.
        peer_address: Where other proxies reach this one, as ``tcp://ip:port``.
        failure_domains: How many failure domains share each server's connections.
        key_max_age_s: Seconds for which known keys are served while no news of keys
            can be had, neither from the platform nor from a peer.
        ready_grace_s: Seconds between the end of readiness and the end of listening,
            in which the balancer can notice.
        drain_s: Seconds that a shutdown gives the requests in flight.
        log: How the process logs.
    """

    name: str
    failure_domain: str
    platform: str
    listen_host: str
    listen_port: int
    metrics_port: int
    peer_address: str
    failure_domains: int = 3
    key_max_age_s: float = 7200.0
    drain_s: float = 30.0
    ready_grace_s: float = 2.0
    log: LogSettings = LogSettings()


def _converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for type_ in (LogSettings, ProxySettings):
        hook = make_dict_structure_fn(type_, conv, _cattrs_forbid_extra_keys=True)
        conv.register_structure_hook(type_, hook)
    return conv


def load_settings(path: Path) -> Result[ProxySettings, tuple[str, ...]]:
    """Read and check a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or every mistake in the file.
    """
    try:
        raw = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as exc:
        return Failure((str(exc),))
    try:
        return Success(_converter().structure(raw, ProxySettings))
    except cattrs.BaseValidationError as exc:
        return Failure(tuple(cattrs.transform_error(exc)))
