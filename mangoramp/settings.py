"""The settings of a proxy, read from YAML and checked before anything starts."""

# No postponed annotations here: cattrs would lose the rules in them.

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from returns.result import Failure, Result, Success

from .settings_types import Choice, Pattern, Range, UniqueKeysLoader, structure

IP = r"(\d{1,3}\.){3}\d{1,3}"
NAME_TEXT = "1 to 63 letters, digits, dots, dashes or underscores"
Name = Annotated[str, Pattern(r"[A-Za-z0-9][\w.-]{0,62}", NAME_TEXT)]
Port = Annotated[int, Range(1, 65_535, "port")]
Host = Annotated[str, Pattern(IP, "an IP number, as 127.0.0.1")]
Url = Annotated[str, Pattern(r"https?://[^\s/:]+:\d{1,5}/?", "http://host:port")]
Peer = Annotated[str, Pattern(rf"tcp://{IP}:\d{{1,5}}", "tcp://IP:port")]
Level = Annotated[str, Choice(("DEBUG", "INFO", "WARNING", "ERROR"))]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the process logs.

    Attributes:
        level: The lowest level that is written.
        json: One JSON object a line if true, else text.
    """

    level: Level = "INFO"
    json: bool = True


@dataclass(frozen=True, slots=True)
class TransactionSettings:
    """The limits of a transaction.

    Attributes:
        limit_s: Seconds after which it is rolled back in any case.
        idle_s: Seconds without a statement after which it is rolled back.
    """

    limit_s: Annotated[float, Range(0.1, 3600, "seconds")] = 30.0
    idle_s: Annotated[float, Range(0.1, 600, "seconds")] = 5.0


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """The settings of one proxy.

    Attributes:
        name: The instance's name, unique in the fleet.
        failure_domain: Where the instance runs.
        platform: The platform's address, as ``http://host:port``.
        listen_host: Address for callers.
        listen_port: Port for callers.
        metrics_port: Port for health, metrics and status, on the same address.
        peer_address: Where other proxies reach this one, as ``tcp://ip:port``.
        failure_domains: How many failure domains share each server's connections.
        key_max_age_s: Seconds for which known keys are served while no news of keys
            can be had, neither from the platform nor from a peer.
        ready_grace_s: Seconds between the end of readiness and the end of listening,
            in which the balancer can notice.
        drain_s: Seconds that a shutdown gives the requests in flight.
        log: How the process logs.
        transactions: The limits of transactions.
    """

    name: Name
    failure_domain: Name
    platform: Url
    listen_host: Host
    listen_port: Port
    metrics_port: Port
    peer_address: Peer
    failure_domains: Annotated[int, Range(1, 64, "failure domains")] = 3
    key_max_age_s: Annotated[float, Range(1, 86_400, "seconds")] = 7200.0
    ready_grace_s: Annotated[float, Range(0, 60, "seconds")] = 2.0
    drain_s: Annotated[float, Range(0, 600, "seconds")] = 30.0
    log: LogSettings = LogSettings()
    transactions: TransactionSettings = TransactionSettings()

    @property
    def admin_address(self) -> str:
        """Where health, metrics and status are shown, as ``http://ip:port``."""
        host = self.peer_address.removeprefix("tcp://").rpartition(":")[0]
        return f"http://{host}:{self.metrics_port}"


def load_settings(path: Path) -> Result[ProxySettings, tuple[str, ...]]:
    """Read and check a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or every mistake in the file.
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
    mistakes = []
    if cfg.listen_port == cfg.metrics_port:
        found = f"{cfg.metrics_port}, as listen_port"
        mistakes.append(f"metrics_port: found {found}, allowed: a port of its own")
    if peer_port in ports.values() or not 0 < peer_port <= 65_535:
        found = f"port {peer_port}"
        mistakes.append(f"peer_address: found {found}, allowed: a port of its own")
    return Failure(tuple(mistakes)) if mistakes else Success(cfg)
