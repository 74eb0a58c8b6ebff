"""The slow part of a reload, done off the event loop: the file, plug-ins and TLS keys, read and checked."""

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
    """A configuration that can be applied, with the components that are made anew for each one.

    Attributes:
        plan: The configuration.
        components: Components by name; None for one that the configuration does not want.
    """

    plan: Plan
    components: dict[str, Component | None]


def prepare(path: Path, logger: RateLimitedLogger) -> Preparation:
    """Read a configuration's file and all files that it names.

    Raises:
        ConfigError: With all that is wrong.
    """
    plan = load(path)
    return Preparation(plan, {"extensions": make_plugins(plan, logger), "keys": make_tls_keys(plan, logger)})


def missing_package(
    plan: Plan, key: str, feature: str, problem: ImportError, requirements: str
) -> ConfigError:
    """The error for a configuration that needs a package which is not installed."""
    text = f"{feature} a package that is not there ({problem}): pip install -r {requirements}"
    return ConfigError([Problem(str(plan.path), key, text)])


def make_plugins(plan: Plan, logger: RateLimitedLogger) -> PluginComponent | None:
    """The plug-ins of a configuration, if it has any; ConfigError with all that can't be used."""
    if not plan.file.plugin:
        return None
    try:
        from loadbalancer.daemon.plugins import PluginComponent, compile_plugins
    except ImportError as problem:
        raise missing_package(plan, "plugin", "plug-ins need", problem, "requirements-plugins.txt") from None
    return PluginComponent(plan, compile_plugins(plan), logger)


def make_tls_keys(plan: Plan, logger: RateLimitedLogger) -> TlsKeys | None:
    """The keys of a configuration, if it has any; ConfigError with all that is wrong with them."""
    if not any(listener.tls for listener in plan.file.listener) and not any(
        pool.tls for pool in plan.file.pool
    ):
        return None
    try:
        from loadbalancer.daemon.tls_keys import TlsKeys
    except ImportError as problem:
        raise missing_package(plan, "tls", "TLS needs", problem, "requirements-tools.txt") from None
    return TlsKeys(plan, logger)
