"""Benchmarks of the fleet's replicated state.

python -m benchmarks.fleetversions [force | straggler | cost | model ...]

force: eight real processes, five of which vote: milliseconds from an operator's call to the answer that a change is
    applied at all instances; then changes per second, requested at all eight at once.
straggler: bytes and seconds to catch up for an instance that is 10, 1,000 and 100,000 changes behind.
cost: requests per second of an instance of a fleet with the state and of one without, alternating in one run.
model: 200 instances, 7 of which vote, in virtual time: how soon a change is applied at all instances.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any, Sequence

import msgspec

from benchmarks.fleetview import compare, pool_of, quantile
from emulator.fleetstate import StateModel
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import Command, OverrideBody, write_body
from loadbalancer.fleet.replication.events import CommandsReceived
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import StateReceiver, StateSender
from standins.member import Fleet as Members
from standins.processes import CONFIG, Fleet, until

STORED = '[store]\nfolder = "state"\n' + CONFIG
VOTERS = 'voters = ["i0", "i1", "i2", "i3", "i4"]\nstale_most = "10s"'
THREE_VOTERS = VOTERS.replace(', "i3", "i4"', "")


async def wait_until_all_act(fleet: Fleet) -> None:
    async def check_all_act() -> bool:
        found = await fleet.statuses()
        return all(not one["agreed"]["shut_out"] for one in found)

    await until(check_all_act, "all may act")


async def force_part(rounds: int) -> None:
    members = Members(4)
    pool = await pool_of(members)
    took: list[float] = []
    confirmed = 0
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 8, pool, profile="lan", config=STORED, fleet_more=VOTERS) as fleet:
            await fleet.open()
            await fleet.settled()
            await wait_until_all_act(fleet)
            # Voters that have just started name no other instance; calls would wait for their whole timeout.
            await asyncio.sleep(11)
            for number in range(rounds):
                verb = "uncordon" if number % 2 else "cordon"
                began = time.perf_counter()
                _, found = await fleet.all[number % 8].say(verb, pool="p", member="m1", wait="5s")
                took.append(1e3 * (time.perf_counter() - began))
                confirmed += bool(found.get("holds"))
            print(
                f"force: {rounds} changes at 8 processes, 5 vote: p50 {quantile(took, 0.5):.1f} ms, p99 "
                f"{quantile(took, 0.99):.1f} ms, most {max(took):.1f} ms; {confirmed} held at all"
            )
            began = time.perf_counter()

            async def send_changes(instance_number: int) -> int:
                accepted = 0
                for number in range(25):
                    _, found = await fleet.all[instance_number].say(
                        "cordon", pool="p", member=f"m{1 + number % 3}", wait="50ms"
                    )
                    accepted += "version" in found
                return accepted

            accepted = sum(
                await asyncio.gather(*(send_changes(instance_number) for instance_number in range(8)))
            )
            took_s = time.perf_counter() - began
            print(
                f"rate: {accepted} of 200 changes said at eight at once stand, {accepted / took_s:.0f}/s",
                flush=True,
            )
    await members.stop()


def make_change(number: int) -> Command:
    body = OverrideBody(
        "pool", {f"member-{number}": AdminOverride(word="drain", by="operator", reason="a reason")}
    )
    return Command(f"edge-1-0123456789ab-{number}", "mark", write_body(body), "operator", "a reason", 1.7e9)


def straggler_part() -> None:
    for count in (10, 1_000, 100_000):
        ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
        for number in range(count):
            ahead.handle(0.0, CommandsReceived(number + 1, (make_change(number),)))
        behind, receiver, sent_bytes = (
            PaxosReplica("b", "", 0, ReplicatedState({"a": ""}), random.Random(1)),
            StateReceiver(),
            0,
        )
        began, parts = time.perf_counter(), 0
        for part in StateSender(ahead).answer(receiver.next_request(0)):
            sent_bytes += len(msgspec.msgpack.encode(part))
            parts += 1
            found, _ = receiver.receive(part)
            if found is not None:
                behind.handle(1.0, found)
        took = time.perf_counter() - began
        assert behind.state.digest() == ahead.state.digest()
        print(
            f"straggler: {count:7} behind: {sent_bytes:10} bytes in {parts} messages, {took:.2f} s of processor time, "
            f"{sent_bytes / (4 << 20):.2f} s at 4 MiB/s",
            flush=True,
        )


async def cost_part(pairs: int) -> None:
    members = Members(4)
    pool = await pool_of(members)
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        async with (
            Fleet(Path(one), 3, pool, profile="lan", config=STORED, fleet_more=THREE_VOTERS) as with_state,
            Fleet(Path(two), 3, pool, profile="lan", config=STORED) as without,
        ):
            for fleet in (with_state, without):
                await fleet.open()
                await fleet.settled()
            await wait_until_all_act(with_state)
            instance_with_state, instance_without_state = with_state.all[0], without.all[0]
            assert instance_with_state.process is not None and instance_without_state.process is not None
            pids = (
                (instance_with_state.process.pid, instance_with_state.port),
                (instance_without_state.process.pid, instance_without_state.port),
            )
            await compare("the state", *pids, pairs)
    await members.stop()


def is_applied_everywhere(model: StateModel) -> bool:
    return all(one.replica.state.version == 1 for one in model.up)


def model_part(runs: int) -> None:
    took: list[float] = []
    for seed in range(runs):
        model = StateModel(7, seed, max_staleness=10.0)
        model.join(193)
        for one in model.all.values():
            one.start()
        model.run(2)
        model.loss = 0.01
        model.all["i3"].propose(make_change(1))
        found = model.until(partial(is_applied_everywhere, model), 30.0, 0.005)
        took.append(1e3 * (found if found is not None else 99.0))
    print(
        f"model: 200 instances, 7 vote, 1 % loss: in force at all p50 {quantile(took, 0.5):.0f} ms, most "
        f"{max(took):.0f} ms of {runs}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parts = ("force", "straggler", "cost", "model")
    parser.add_argument("parts", nargs="*", metavar="PART", default=parts, help=", ".join(parts))
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--pairs", type=int, default=30)
    options: Any = parser.parse_args(arguments)
    if "force" in options.parts:
        asyncio.run(force_part(options.rounds))
    if "straggler" in options.parts:
        straggler_part()
    if "cost" in options.parts:
        asyncio.run(cost_part(options.pairs))
    if "model" in options.parts:
        model_part(20)
    return 0


if __name__ == "__main__":
    sys.exit(main())
