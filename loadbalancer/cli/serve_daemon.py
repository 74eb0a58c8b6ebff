"""Implementation of `micastand serve`: runs the daemon with a configuration file or with the embedded default."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import uvloop

from loadbalancer.admin.snapshot import Snapshot
from loadbalancer.allocator import return_freed_blocks
from loadbalancer.cli.errors import UsageError, load_or_report, report
from loadbalancer.cli.serve import DEFAULT_MEMBERS
from loadbalancer.config.plan import Plan, load
from loadbalancer.config.reader import ConfigError, read_address
from loadbalancer.config.types import LogTable
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.daemon.hot_restart.protocol import HotRestartError
from loadbalancer.daemon.hot_restart.takeover import InheritedState
from loadbalancer.line_writer import LineWriter, standard_error
from loadbalancer.resource_limits import RateLimitedLogger, describe_loop_context
from standins.fastcgi import FastCgiFleet
from standins.member import Fleet

#: The embedded default configuration without its members.
DEFAULT_CONFIGURATION = """\
[[class]]
name = "track"
aim = "600ms"
deadline = "1.5s"
worth = 3

[[class]]
name = "book"
aim = "1.5s"
deadline = "5s"
worth = 10
effect = "keyed"
dedup_window = "3s"

[[route]]
name = "all"
prefix = "/"
pool = "demo"
class = "track"
write_class = "book"

[[listener]]
name = "main"
address = "{address}"
ready_path = "/ready"

[[pool]]
name = "demo"
"""


def run(options: argparse.Namespace) -> int:
    if options.config is not None and load_or_report(options.config) is None:
        return 1
    try:
        read_address(options.address)
    except ValueError as problem:
        raise UsageError(f"-a {problem}") from None
    try:
        return_freed_blocks()
        return uvloop.run(_serve(options))
    except (
        ConfigError
    ) as error:  # errors found only when the daemon starts: in plug-ins, members files, the store
        report(options.config or Path("embedded default"), error)
        return 1
    except HotRestartError as problem:
        sys.stderr.write(f"micastand serve: nothing was taken over: {problem}\n")
        return 1
    except OSError as problem:
        sys.stderr.write(f"micastand serve: can't listen: {problem}\n")
        return 1


async def _serve(options: argparse.Namespace) -> int:
    """Serve until a signal arrives or another process has taken over, then shut down."""
    async with AsyncExitStack() as stack:
        path = options.config
        if path is None:
            path = await _start_embedded(stack, options.address, options.demo)
        plan = load(path)
        daemon = Daemon(_create_logger(plan.file.log, stack))
        stack.callback(daemon.close)
        if options.take_over:
            daemon.inherited = _take_over(plan, options.config)
            daemon.inherited_snapshot = _decode_snapshot(daemon.inherited, daemon.logger)
        daemon.apply(plan)
        stopping = _handle_signals(daemon)
        _replace_predecessor(daemon)
        daemon.serve()
        _announce(daemon, options)
        await _until_ended(daemon, stopping)
        print("micastand: ended", flush=True)
        return 0


def _replace_predecessor(daemon: Daemon) -> None:
    """Tell the predecessor whose sockets were taken over that this process serves.

    Raises HotRestartError if it does not answer.
    """
    if daemon.inherited is None:
        return
    connection = daemon.inherited.confirm_serving()
    daemon.inherited = None
    if daemon.admin is not None:
        daemon.admin.predecessor.connect(connection)
    else:
        connection.close()


def _announce(daemon: Daemon, options: argparse.Namespace) -> None:
    """Print where the daemon listens, and notify the descriptor of --notify."""
    for name, listener in daemon.listeners.items():
        host, port = listener.address
        url = f"http://{host}:{port}/" if port else host
        print(f"micastand: {name} listens on {url}", flush=True)
        if options.config is None:
            print(f"try: curl -i http://{host}:{port}/pallets/42", flush=True)
    gc.collect()
    gc.freeze()
    if options.notify is not None:
        os.write(options.notify, b"serving\n")
        os.close(options.notify)


async def _until_ended(daemon: Daemon, stopping: asyncio.Event) -> None:
    """Wait for a signal or a successor, then drain; a second signal stops the daemon at once."""
    replaced = daemon.admin.hot_restart.replaced if daemon.admin is not None else asyncio.Event()
    await _wait_for_first(stopping.wait(), replaced.wait())
    second_signal = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, second_signal.set)
    await _wait_for_first(daemon.end(replaced.is_set()), second_signal.wait())


def _take_over(plan: Plan, path: Path | None) -> InheritedState:
    from loadbalancer.daemon.hot_restart.protocol import offer_path
    from loadbalancer.daemon.hot_restart.takeover import take_over

    management = plan.file.management
    if path is None or management is None or management.socket is None:
        raise UsageError(
            "--take-over needs -c FILE with a [management] socket, by which the running daemon is found"
        )
    return take_over(offer_path(path.parent / management.socket))


def _decode_snapshot(inherited: InheritedState, logger: RateLimitedLogger) -> Snapshot | None:
    """Return the snapshot of the old daemon, or None if it can't be decoded: this one then begins as at a restart."""
    from loadbalancer.admin.snapshot import SnapshotError, decode

    try:
        return decode(inherited.snapshot)
    except SnapshotError as problem:
        logger("upgrade: begun without what was learnt", problem)
        return None


def _create_logger(table: LogTable | None, stack: AsyncExitStack) -> RateLimitedLogger:
    if table is None:
        writer = LineWriter(standard_error())
        stack.callback(writer.close)
        return RateLimitedLogger(writer)
    from loadbalancer.daemon.logs import StructuredLogger

    logger = StructuredLogger(table.form, table.level)
    stack.callback(logger.close)
    return logger


def _handle_signals(daemon: Daemon) -> asyncio.Event:
    """Install the signal handlers; return the event that SIGINT and SIGTERM set."""
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    loop.set_exception_handler(lambda _, context: daemon.logger("defect", describe_loop_context(context)))
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # blocked since the start (serve.py)
    return stopping


async def _wait_for_first(*waits: Any) -> None:
    """Wait until one of the awaitables is done, and cancel the others."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _start_embedded(stack: AsyncExitStack, address: str, demo: str) -> Path:
    """Start the stand-in members, and write the configuration that names them."""
    fleet = Fleet(DEFAULT_MEMBERS) if demo == "http" else FastCgiFleet(DEFAULT_MEMBERS)
    stack.push_async_callback(fleet.stop)
    await fleet.start()
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="micastand-")))
    path = folder / "micastand.toml"
    protocol = 'protocol = "fastcgi"\n' if demo == "fastcgi" else ""
    path.write_text(DEFAULT_CONFIGURATION.format(address=address) + protocol + fleet.tables())
    return path
