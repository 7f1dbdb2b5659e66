"""Loads the settings file that the platform provides to an instance."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..control.endpoint import MAX_PORT
from ..control.settings import (
    DEFAULT_MEMORY_BYTES,
    Address,
    Bounds,
    Features,
    InstanceSettings,
)

SETTINGS_PATH_VARIABLE = "MANGORAMP_BOOT"
MAX_PORT_DIGITS = 5
DEFAULT_SETTINGS_PATH = "/etc/mangoramp/local.toml"


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    stable_window_ms: float = 4000  # undisturbed time after which limits apply
    config_apply_ms: float = 3000
    drain_ms: float = 7000
    grace_s: float = 6
    quota_window_s: float = 5
    quota_overage: float = 0
    quota_slack: float = 0
    evacuate_ms: float = 0  # 0 or absent: evacuations are not supported
    cold_overage: float = 0
    cold_slack: float = 0
    require_fencing: bool = False


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0  # usable share of each core
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 0  # 0 or absent: unknown


class _Server(msgspec.Struct):
    address: str = ""


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]  # first and last port of the usable range
    listen_addresses: _Listen
    platform: _Server
    cloud: _Server = msgspec.field(default_factory=_Server)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: tuple[str, ...] = ()  # control addresses; only their hosts are used
    heartbeat_ms: float = 1200
    bootstrap: bool = False
    contracts: tuple[str, ...] = ()  # names of optional parts that are required


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_instance_settings(path: Path) -> Result[InstanceSettings, str]:
    """Read the settings file.

    Args:
        path: The path of the file.

    Returns:
        The settings, or a message that names the file and the invalid field.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        return Success(_instance(msgspec.convert(raw, _File, strict=False)))
    except (OSError, ValueError, RecursionError) as exc:
        return Failure(f"{path}: {exc}")


def _instance(raw: _File) -> InstanceSettings:
    port = raw.internal_ports[0]
    seeds = (parse_address(seed)[0] for seed in raw.seeds)
    return InstanceSettings(
        name=raw.node_name,
        failure_domain=raw.zone,
        callers=parse_address(raw.listen_addresses.front),
        health=parse_address(raw.listen_addresses.ready),
        peers=(raw.ip, port),
        seeds=tuple((host, port) for host in seeds if host != raw.ip),
        store_url=f"http://{raw.platform.address}",
        promotion_url=f"http://{raw.cloud.address}" if raw.cloud.address else "",
        heartbeat_s=raw.heartbeat_ms / 1000,
        is_first_start=raw.bootstrap,
        bounds=_bounds(raw.bounds),
        strength=_statements_per_s(raw.limits),
        features=_features(raw),
        memory_bytes=_memory_bytes(raw.limits),
        is_fenced=raw.bounds.require_fencing,
    )


def _features(raw: _File) -> Features:
    return Features(
        evacuation=raw.bounds.evacuate_ms > 0,
        load_control="pressure" in raw.contracts,
        server_health="health" in raw.contracts,
    )


def _statements_per_s(raw: _Limits) -> int:
    # A core runs about 500 statements per second; 1 Mbit/s carries about 50.
    cores = raw.cpu_share * raw.cores
    return round(min(500 * cores, 50 * raw.link_mbps))


def _memory_bytes(raw: _Limits) -> int:
    return round(raw.memory_mb * 1_000_000) or DEFAULT_MEMORY_BYTES


def _bounds(raw: _Bounds) -> Bounds:
    return Bounds(
        settled_s=raw.stable_window_ms / 1000,
        configuration_s=raw.config_apply_ms / 1000,
        draining_s=raw.drain_ms / 1000,
        grace_s=raw.grace_s,
        rate_window_s=raw.quota_window_s,
        rate_overage=max(0.0, raw.quota_overage),
        rate_slack=max(0.0, raw.quota_slack),
        evacuation_s=max(0.0, raw.evacuate_ms / 1000),
        cold_overage=raw.cold_overage,
        cold_slack=raw.cold_slack,
    )


def parse_address(text: Any) -> Address:
    """Split ``host:port`` into a host and a port number.

    Raises:
        ValueError: The text has no host or no valid port number.
    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address; expected host:port")
    return host, int(port)
