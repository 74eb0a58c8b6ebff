"""Duration and peak memory of an import, by the number of members.

python -m benchmarks.importing [--members 1000 2500 5000 10000]
"""

from __future__ import annotations

import argparse
import time
import tracemalloc

from loadbalancer.importer.imports import Imported, Options, import_apache


class SingleFile:
    """A file source with a single file, whatever the path."""

    def __init__(self, text: str) -> None:
        self.data = text.encode()

    def read(self, path: str) -> bytes:
        return self.data

    def match(self, pattern: str) -> list[str]:
        return []


def make_configuration(members: int) -> str:
    lines = [
        f"  BalancerMember http://10.{n >> 14 & 127}.{n >> 7 & 127}.{n & 127}:8080 loadfactor={1 + n % 9} route=r{n}"
        for n in range(members)
    ]
    body = "\n".join(lines)
    return f'Listen 80\n<Proxy "balancer://b">\n{body}\n</Proxy>\nProxyPass / balancer://b/ stickysession=S\n'


def run_import(members: int) -> Imported:
    imported = import_apache(SingleFile(make_configuration(members)), "conf", Options())
    assert imported.text is not None
    return imported


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[1000, 2500, 5000, 10000])
    options = parser.parse_args()
    run_import(100)
    base = 0.0
    for members in options.members:
        best = min(measure_import(members) for _ in range(3))
        base = base or best / members
        tracemalloc.start()
        run_import(members)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        mean = best / members
        print(
            f"{members:6} members  {best:6.2f} s  {1e6 * mean:5.0f} us each ({mean / base:.2f} of the first)  "
            f"{peak / (1 << 20):5.1f} MiB"
        )


def measure_import(members: int) -> float:
    began = time.perf_counter()
    run_import(members)
    return time.perf_counter() - began


if __name__ == "__main__":
    main()
