"""Cost of admission: `python -m benchmarks.admission`.

Four measurements, each within one run: connections per second on one core (each with one request and its answer)
without rules, with caps, and with caps behind the PROXY protocol; requests per second on keep-alive connections without
rules and with caps; how soon a flood of connections is refused, and how known clients are served meanwhile; memory for
a million addresses, with the table bounded and with a bound that is never reached.
"""

from __future__ import annotations

import argparse
import asyncio
import time
import tracemalloc
from statistics import median
from typing import Any, cast

from benchmarks.scene import clients, daemon, members, one_pool, ratios, tables
from loadbalancer.admission.admission import Admission, Caps, Slots

CAPS = """[listener.admission]
connections_per_address = 1000
connects_per_s = 100000
requests_per_address = 1000
"""
PROXY = 'proxy_protocol_from = ["127.0.0.0/8"]\n' + CAPS
#: Number of addresses for the measurement of memory.
ADDRESSES_SEEN = 1_000_000


def print_ratios(rows: dict[str, list[dict[str, Any]]], what: str) -> None:
    first = rows["none"]
    for name, results in rows.items():
        rate, work = ratios(results, first)
        print(
            f"{what}, rules {name}: {median(r['per_s'] for r in results):.0f}/s at "
            f"{median(r['cpu_us'] for r in results):.0f} us; ratio {median(rate):.3f} ({min(rate):.3f} to "
            f"{max(rate):.3f}), by processor time {median(work):.3f}",
            flush=True,
        )


def run_rounds(
    options: argparse.Namespace,
    addresses: dict[str, str],
    rules: dict[str, str],
    extra: dict[str, list[str]],
    *load: str,
) -> dict[str, list[dict[str, Any]]]:
    rows: dict[str, list[dict[str, Any]]] = {name: [] for name in rules}
    for _ in range(options.rounds):
        for name, text in rules.items():
            with daemon(1, one_pool(text) + tables(addresses)) as (listeners, pid):
                load_arguments = [
                    "--seconds",
                    str(options.seconds),
                    "--connections",
                    "16",
                    *load,
                    *extra.get(name, []),
                ]
                result = clients(3, listeners["main"], *load_arguments, pid=pid)
            if set(result["statuses"]) != {"200"} or result["lost"]:
                raise SystemExit(f"rules {name}: expected only status 200 and nothing lost, found {result}")
            rows[name].append(result)
    return rows


FLOOD_CONFIGURATION = """[listener.admission]
connections_per_address = 64
known = ["127.1.0.0/16"]
reserve = 0.25
"""
#: Number of connections of the flood, and how many of them at a time.
FLOOD_SIZE, FLOOD_CONCURRENCY = 3000, 400
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def measure_answer(host: str, port: int, source: str, data: bytes) -> tuple[int, float]:
    """Send data on a new connection; return the status (0 if it was closed without one) and the seconds until then."""
    began = time.perf_counter()
    status = 0
    try:
        reader, writer = await asyncio.open_connection(host, port, local_addr=(source, 0))
        writer.write(data)
        line = await reader.readline()
        status = int(line.split(b" ")[1]) if line else 0
        writer.close()
    except ConnectionError:
        pass
    return status, time.perf_counter() - began


async def run_flood(address: str) -> tuple[list[tuple[int, float]], list[tuple[int, float]]]:
    """Run the flood and a known client concurrently; return the answers of each."""
    host, _, port = address.rpartition(":")
    concurrency, flood_results = asyncio.Semaphore(FLOOD_CONCURRENCY), list[tuple[int, float]]()

    async def flood_once(number: int) -> None:
        async with concurrency:
            flood_results.append(
                await measure_answer(host, int(port), "127.2.0.1", b"" if number % 2 else REQUEST)
            )

    async def run_known_client() -> list[tuple[int, float]]:
        answers = []
        while len(flood_results) < FLOOD_SIZE:
            answers.append(await measure_answer(host, int(port), "127.1.0.1", REQUEST))
        return answers

    answers, *_ = await asyncio.gather(
        run_known_client(), *(flood_once(number) for number in range(FLOOD_SIZE))
    )
    return flood_results, cast("list[tuple[int, float]]", answers)


def measure_flood(addresses: dict[str, str]) -> None:
    config = one_pool(FLOOD_CONFIGURATION, descriptors=512)
    with daemon(1, config + tables(addresses)) as (listeners, _):
        flood_answers, answers = asyncio.run(run_flood(listeners["main"]))
    refused = [seconds for status, seconds in flood_answers if status in (0, 503)]
    times = sorted(seconds for _, seconds in answers)
    served = sum(status == 200 for status, _ in answers)
    print(
        f"a flood of {FLOOD_SIZE}, half of it silent: {len(refused)} refused, told after {max(refused):.2f} s at most; "
        f"known clients meanwhile: {served} of {len(answers)} served, p50 {times[len(times) // 2] * 1e3:.0f} ms, "
        f"most {times[-1] * 1e3:.0f} ms",
        flush=True,
    )


def measure_memory(entries: int) -> None:
    """Measure the memory of the address table after a million addresses, 250 in each /24."""
    tracemalloc.start()
    admission = Admission(Caps(connections=8, entries=entries))
    for number in range(ADDRESSES_SEEN):
        block, last = divmod(number, 250)
        admission.decide_connection(
            f"10.{block >> 8 & 255}.{block & 255}.{last}", number / 1000, Slots(1000, 0, 0)
        )
    held, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rows = len(admission.addresses) + len(admission.prefixes)
    print(
        f"{ADDRESSES_SEEN} addresses seen, {entries} remembered: {held / 1e6:.1f} MB held ({most / 1e6:.1f} at most), "
        f"{rows} entries, {held / rows:.0f} bytes each",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    options = parser.parse_args()
    with members(2, "--members", "4", "--body", "200") as addresses:
        rules = {"none": "", "caps": CAPS, "caps and PROXY": PROXY}
        per_connection = run_rounds(
            options, addresses, rules, {"caps and PROXY": ["--proxy-header"]}, "--fresh"
        )
        print_ratios(per_connection, "a connection for each request")
        kept_alive = run_rounds(options, addresses, {"none": "", "caps": CAPS}, {})
        print_ratios(kept_alive, "kept connections")
        measure_flood(addresses)
    measure_memory(16384)
    measure_memory(ADDRESSES_SEEN + 1)


if __name__ == "__main__":
    main()
