"""The slow part of a reload, run off the event loop: reading and checking the file, plug-ins and TLS keys."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.config.plan import Plan, load
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.daemon.components import Component
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.tls_keys import TlsKeys


class Preparation(NamedTuple):
    """A configuration that can be applied, with the components that are created again for each configuration.

    Attributes:
        plan: The configuration.
        components: Components by name; None for one that the configuration does not include.
    """

    plan: Plan
    components: dict[str, Component | None]


def prepare(path: Path, logger: RateLimitedLogger) -> Preparation:
    """Read a configuration file and all files that it names.

    Raises:
        ConfigError: The configuration can't be used; the error lists all problems.
    """
    plan = load(path)
    return Preparation(plan, {"extensions": make_plugins(plan, logger), "keys": make_tls_keys(plan, logger)})


def missing_package(
    plan: Plan, key: str, feature: str, problem: ImportError, requirements: str
) -> ConfigError:
    """Return the error for a configuration that needs a package which is not installed."""
    text = f"{feature} a package that is not installed ({problem}): pip install -r {requirements}"
    return ConfigError([Problem(str(plan.path), key, text)])


def make_plugins(plan: Plan, logger: RateLimitedLogger) -> PluginComponent | None:
    """Create the plug-ins of a configuration, if it has any; ConfigError lists all that can't be used."""
    if not plan.file.plugin:
        return None
    try:
        from loadbalancer.daemon.plugins import PluginComponent, compile_plugins
    except ImportError as problem:
        raise missing_package(plan, "plugin", "plug-ins need", problem, "requirements-plugins.txt") from None
    return PluginComponent(plan, compile_plugins(plan), logger)


def make_tls_keys(plan: Plan, logger: RateLimitedLogger) -> TlsKeys | None:
    """Load the TLS keys of a configuration, if it has any; ConfigError lists all problems with them."""
    if not any(listener.tls for listener in plan.file.listener) and not any(
        pool.tls for pool in plan.file.pool
    ):
        return None
    try:
        from loadbalancer.daemon.tls_keys import TlsKeys
    except ImportError as problem:
        raise missing_package(plan, "tls", "TLS needs", problem, "requirements-tools.txt") from None
    return TlsKeys(plan, logger)
