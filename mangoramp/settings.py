"""Settings of a proxy, read from YAML and validated at startup."""

# No `from __future__ import annotations`: cattrs doesn't see the Annotated rules in
# postponed annotations.

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from returns.result import Failure, Result, Success

from .settings_types import Choice, Pattern, Range, UniqueKeysLoader, structure

IP_PATTERN = r"(\d{1,3}\.){3}\d{1,3}"
NAME_RULE = "1 to 63 letters, digits, dots, dashes or underscores"
Name = Annotated[str, Pattern(r"[A-Za-z0-9][\w.-]{0,62}", NAME_RULE)]
Port = Annotated[int, Range(1, 65_535, "port")]
IpAddress = Annotated[str, Pattern(IP_PATTERN, "an IPv4 address such as 127.0.0.1")]
HttpUrl = Annotated[str, Pattern(r"https?://[^\s/:]+:\d{1,5}/?", "http://host:port")]
PeerUrl = Annotated[str, Pattern(rf"tcp://{IP_PATTERN}:\d{{1,5}}", "tcp://IP:port")]
LogLevel = Annotated[str, Choice(("DEBUG", "INFO", "WARNING", "ERROR"))]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The log of the process.

    Attributes:
        level: Lowest level that is logged.
        json: Whether to log one JSON object per line instead of text.
    """

    level: LogLevel = "INFO"
    json: bool = True


@dataclass(frozen=True, slots=True)
class TransactionSettings:
    """The limits of a transaction.

    Attributes:
        limit_s: Seconds after its start at which a transaction is rolled back.
        idle_s: Seconds without a statement after which a transaction is rolled back.
    """

    limit_s: Annotated[float, Range(0.1, 3600, "seconds")] = 30.0
    idle_s: Annotated[float, Range(0.1, 600, "seconds")] = 5.0


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """The settings of one proxy.

    Attributes:
        name: Name of the instance, unique in the fleet.
        failure_domain: Failure domain of the instance.
        platform: Address of the platform, as ``http://host:port``.
        listen_host: IP address to listen on for callers.
        listen_port: Port to listen on for callers.
        metrics_port: Port for health, metrics and status, on the same IP address.
        peer_address: Address for other proxies, as ``tcp://ip:port``.
        failure_domains: Number of failure domains that share each server's connections.
        key_max_age_s: Seconds for which known keys stay valid while neither the
            platform nor a peer provides updates of keys.
        ready_grace_s: Seconds from reporting not ready until listening stops, so that
            the load balancer can remove the instance.
        drain_s: Seconds that a shutdown waits for the requests in flight.
        log: Settings of the log.
        transactions: The limits of transactions.
    """

    name: Name
    failure_domain: Name
    platform: HttpUrl
    listen_host: IpAddress
    listen_port: Port
    metrics_port: Port
    peer_address: PeerUrl
    failure_domains: Annotated[int, Range(1, 64, "failure domains")] = 3
    key_max_age_s: Annotated[float, Range(1, 86_400, "seconds")] = 7200.0
    ready_grace_s: Annotated[float, Range(0, 60, "seconds")] = 2.0
    drain_s: Annotated[float, Range(0, 600, "seconds")] = 30.0
    log: LogSettings = LogSettings()
    transactions: TransactionSettings = TransactionSettings()

    @property
    def admin_address(self) -> str:
        """Address of health, metrics and status, as ``http://ip:port``."""
        host = self.peer_address.removeprefix("tcp://").rpartition(":")[0]
        return f"http://{host}:{self.metrics_port}"


def load_settings(path: Path) -> Result[ProxySettings, tuple[str, ...]]:
    """Read and validate a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or a message for every error in the file.
    """
    try:
        raw = yaml.load(path.read_text(encoding="utf-8"), UniqueKeysLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        return Failure((f"{path}: {exc}",))
    found = structure(raw, ProxySettings)
    return found.bind(_check_ports)


def _check_ports(cfg: ProxySettings) -> Result[ProxySettings, tuple[str, ...]]:
    peer_port = int(cfg.peer_address.rpartition(":")[2])
    ports = {"listen_port": cfg.listen_port, "metrics_port": cfg.metrics_port}
    errors = []
    if cfg.listen_port == cfg.metrics_port:
        found = f"{cfg.metrics_port}, as listen_port"
        errors.append(f"metrics_port: found {found}, allowed: a port of its own")
    if peer_port in ports.values() or not 0 < peer_port <= 65_535:
        found = f"port {peer_port}"
        errors.append(f"peer_address: found {found}, allowed: a port of its own")
    return Failure(tuple(errors)) if errors else Success(cfg)
