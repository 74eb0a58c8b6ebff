"""TLS compared with plain HTTP: requests, handshakes, known clients during a handshake flood, memory, key rotation.

python -m benchmarks.tls [--seconds 2] [--rotations 200] [--idle 1000] [--hanging 2000]

A daemon in a process of its own has a plain and a TLS listener for the same members; the clients run in another.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import resource
import ssl
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from loadbalancer.tls.contexts import as_file
from loadbalancer.tls.demo import Authority, Issued, write_pair, write_private

ROOT = Path(__file__).parent.parent
CONFIG = """\
[process]
descriptors = {descriptors}
memory = "512MiB"
[[listener]]
name = "plain"
address = "127.0.0.1:{plain}"
[[listener]]
name = "tls"
address = "127.0.0.1:{tls}"
[listener.tls]
certificate = [{{ chain = "a.pem", key = "a.key" }}]
handshakes_per_s = {per_s}
handshakes_per_address = 100000
[listener.admission]
known = ["127.0.0.1/32"]
reserve = 0.25
[[route]]
name = "r"
prefix = "/"
pool = "p"
[[pool]]
name = "p"
rules = {{ new_members = "warm" }}
"""
REQUEST = b"GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n"
CLIENTS = 16


def context(authority: Authority) -> ssl.SSLContext:
    return ssl.create_default_context(cadata=authority.pem.decode())


async def open_with_handshake(
    port: int, authority: Authority
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a new connection with a full handshake."""
    return await asyncio.open_connection(
        "127.0.0.1", port, ssl=context(authority), server_hostname="shop.test"
    )


async def send_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))


async def requests(
    port: int, seconds: float, secure: ssl.SSLContext | None, clients: int = CLIENTS
) -> list[float]:
    """Return the latencies of requests on keep-alive connections."""
    times: list[float] = []
    end_time = time.perf_counter() + seconds

    async def client() -> None:
        more: dict[str, Any] = {"ssl": secure, "server_hostname": "shop.test"} if secure is not None else {}
        reader, writer = await asyncio.open_connection("127.0.0.1", port, **more)
        while time.perf_counter() < end_time:
            began = time.perf_counter()
            await send_request(reader, writer)
            times.append(time.perf_counter() - began)
        writer.transport.abort()

    await asyncio.gather(*(client() for _ in range(clients)))
    return times


def read_processor_time(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_handshakes(port: int, seconds: float, authority: Authority, with_request: bool) -> int:
    """Return the number of full handshakes by several concurrent clients; with `with_request`, each sends a request."""
    done, end_time = 0, time.perf_counter() + seconds

    async def client() -> None:
        nonlocal done
        while time.perf_counter() < end_time:
            found = await asyncio.open_connection(
                "127.0.0.1", port, ssl=context(authority), server_hostname="shop.test"
            )
            if with_request:
                await send_request(*found)
            found[1].transport.abort()
            done += 1

    await asyncio.gather(*(client() for _ in range(8)))
    return done


def serve_bare(port: int, pair: Issued) -> None:
    """Run a bare TLS server with the same TLS library and event loop, as a baseline."""

    async def serve() -> None:
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        with as_file(pair.chain + pair.key) as path:
            made.load_cert_chain(path)

        class Echo(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                self.transport = transport

            def data_received(self, data: bytes) -> None:
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        server = await asyncio.get_running_loop().create_server(
            Echo, "127.0.0.1", port, ssl=made, backlog=4096
        )
        await server.serve_forever()

    uvloop.run(serve())


def run_unknown_clients(port: int, seconds: float, rate: float, pem: bytes) -> None:
    """Open `rate` handshakes a second from addresses that aren't known clients."""

    async def open_with_handshake(number: int) -> None:
        try:
            _, writer = await asyncio.open_connection(
                "127.0.0.1",
                port,
                ssl=ssl.create_default_context(cadata=pem.decode()),
                server_hostname="shop.test",
                local_addr=(f"127.0.2.{number % 200 + 1}", 0),
            )
            writer.transport.abort()
        except OSError:
            pass

    async def run() -> None:
        began, number, tasks = time.perf_counter(), 0, set()
        while (now := time.perf_counter() - began) < seconds:
            while number < now * rate:
                task = asyncio.ensure_future(open_with_handshake(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
            await asyncio.sleep(0.005)

    uvloop.run(run())


def resident(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()


def free_ports(count: int) -> list[int]:
    import socket

    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def serve(folder: Path, per_s: float) -> tuple[asyncio.subprocess.Process, int, int, Any]:
    from standins.member import Fleet

    fleet = Fleet(4)
    await fleet.start()
    plain, tls = free_ports(2)
    path = folder / "c.toml"
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    path.write_text(CONFIG.format(descriptors=most, plain=plain, tls=tls, per_s=per_s) + fleet.tables())
    made = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer.cli",
        "serve",
        "-c",
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        cwd=ROOT,
    )
    assert made.stdout is not None
    for _ in range(2):
        assert b"listens" in await made.stdout.readline()
    return made, plain, tls, fleet


def percentile_99(times: list[float]) -> float:
    return sorted(times)[int(0.99 * (len(times) - 1))]


async def throughput(pid: int, plain: int, tls: int, seconds: float, authority: Authority) -> None:
    ratios, costs = [], []
    for _ in range(3):
        figures = []
        for port, secure in ((plain, None), (tls, context(authority))):
            before = read_processor_time(pid)
            count = len(await requests(port, seconds, secure))
            figures.append((count / seconds, (read_processor_time(pid) - before) / count * 1e6))
        ratios.append(figures[1][0] / figures[0][0])
        costs.append(figures[0][1] / figures[1][1])
    spread = f"{statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
    print(
        f"requests a second on kept connections, TLS over plain: {spread}; by processor time of the daemon "
        f"{statistics.median(costs):.2f}"
    )


async def handshakes(pid: int, tls: int, seconds: float, authority: Authority, pair: Issued) -> None:
    (port,) = free_ports(1)
    bare = multiprocessing.get_context("spawn").Process(target=serve_bare, args=(port, pair), daemon=True)
    bare.start()
    assert bare.pid is not None
    while True:
        try:
            await run_handshakes(port, 0.1, authority, False)
            break
        except OSError:
            await asyncio.sleep(0.1)
    for with_request, words in ((False, "handshakes"), (True, "handshakes with a request each")):
        ratios = []
        for _ in range(3):
            costs = []
            for where, process in ((tls, pid), (port, bare.pid)):
                before = read_processor_time(process)
                count = await run_handshakes(where, seconds, authority, with_request)
                costs.append((read_processor_time(process) - before) / count * 1e6)
            ratios.append(costs[1] / costs[0])
        ratio = f"{statistics.median(ratios):.2f} of a bare server's rate ({min(ratios):.2f} to {max(ratios):.2f})"
        print(f"full {words}: {costs[0]:.0f} us of processor each, {ratio}")
    bare.kill()


async def measure_known_clients(tls: int, seconds: float, authority: Authority) -> None:
    quiet = await requests(tls, seconds, context(authority), 4)
    other = multiprocessing.get_context("spawn").Process(
        target=run_unknown_clients, args=(tls, seconds + 2.0, 500.0, authority.pem), daemon=True
    )
    other.start()
    await asyncio.sleep(1.5)
    busy = await requests(tls, seconds, context(authority), 4)
    other.join()
    print(
        f"a known client's 99th beside 500 handshakes a second of strangers: {1e3 * percentile_99(busy):.1f} ms, quiet "
        f"{1e3 * percentile_99(quiet):.1f} ms, ratio {percentile_99(busy) / percentile_99(quiet):.2f}"
    )


async def memory(pid: int, plain: int, tls: int, idle: int, authority: Authority) -> None:
    for port, secure, words in ((plain, None, "plain"), (tls, context(authority), "TLS")):
        before, held = resident(pid), []
        for _ in range(idle):
            more: dict[str, Any] = (
                {"ssl": secure, "server_hostname": "shop.test"} if secure is not None else {}
            )
            found = await asyncio.open_connection("127.0.0.1", port, **more)
            await send_request(*found)
            held.append(found[1])
        print(f"{idle} idle {words} connections: {(resident(pid) - before) / idle / 1024:.1f} KiB each")
        for writer in held:
            writer.transport.abort()
        await asyncio.sleep(1.0)


async def hanging(tls: int, count: int, authority: Authority) -> None:
    """Measure how soon a known client is served beside handshakes that are started and never finished."""
    held = []
    for number in range(count):
        _, writer = await asyncio.open_connection(
            "127.0.0.1", tls, local_addr=(f"127.0.3.{number % 200 + 1}", 0)
        )
        held.append(writer)
    began = time.perf_counter()
    found = await asyncio.open_connection(
        "127.0.0.1", tls, ssl=context(authority), server_hostname="shop.test"
    )
    await send_request(*found)
    print(
        f"beside {count} handshakes that are never finished a known client is served in "
        f"{1e3 * (time.perf_counter() - began):.0f} ms"
    )
    for writer in held:
        writer.transport.abort()


async def rotate(tls: int, folder: Path, count: int, authority: Authority) -> None:
    """Replace the key `count` times under load, one file after the other, and measure when new connections use it.

    New connections should use the new key within a second.
    """
    lost: list[str] = []
    served, stopped, took = 0, False, []

    async def client(kept: int) -> None:
        nonlocal served
        while not stopped:
            try:
                found = await asyncio.open_connection(
                    "127.0.0.1", tls, ssl=context(authority), server_hostname="shop.test"
                )
                for _ in range(kept):
                    await send_request(*found)
                    served += 1
                found[1].transport.abort()
            except (OSError, asyncio.IncompleteReadError) as problem:
                lost.append(repr(problem))

    tasks = [asyncio.ensure_future(client(kept)) for kept in (1, 1, 50, 50)]
    for _ in range(count):
        issued = authority.issue("shop.test")
        write_private(folder / "a.pem", issued.chain)
        write_private(folder / "a.key", issued.key)
        began = time.perf_counter()
        expected_certificate = ssl.PEM_cert_to_DER_cert(issued.chain.decode())
        while True:
            found = await asyncio.open_connection(
                "127.0.0.1", tls, ssl=context(authority), server_hostname="shop.test"
            )
            found_certificate = found[1].get_extra_info("ssl_object").getpeercert(True)
            found[1].transport.abort()
            if found_certificate == expected_certificate:
                break
            await asyncio.sleep(0.02)
        took.append(time.perf_counter() - began)
    stopped = True
    await asyncio.gather(*tasks)
    print(
        f"{count} keys replaced under load: new connections on the new one after {statistics.median(took):.2f} s "
        f"({max(took):.2f} at most), {served} requests, {len(lost)} lost {lost[:2]}"
    )


async def run(options: argparse.Namespace) -> None:
    authority = Authority()
    pair = authority.issue("shop.test")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_pair(folder, "a", pair)
        daemon, plain, tls, fleet = await serve(folder, 200.0)
        try:
            await throughput(daemon.pid, plain, tls, options.seconds, authority)
            await handshakes(daemon.pid, tls, options.seconds, authority, pair)
            await measure_known_clients(tls, options.seconds, authority)
            await memory(daemon.pid, plain, tls, options.idle, authority)
            await hanging(tls, options.hanging, authority)
            await rotate(tls, folder, options.rotations, authority)
        finally:
            daemon.kill()
            await daemon.wait()
            await fleet.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rotations", type=int, default=200)
    parser.add_argument("--idle", type=int, default=1000)
    parser.add_argument("--hanging", type=int, default=2000)
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
