"""A voter that lost its store, and first meets voters that have never observed that store."""

from __future__ import annotations

from replica_model import override_command

from emulator.fleetstate import StateModel


def test_voter_with_lost_store_does_not_let_a_version_be_decided_twice() -> None:
    """Two voters decide a command; one of them loses its store and meets the third voter, which knows neither the
    command nor the lost store."""
    model = StateModel(3, 1)
    model.all["i1"].start()
    model.all["i2"].start()
    model.run(2)
    model.all["i1"].propose(override_command(1))
    model.run(1)
    assert model.all["i1"].ended["c1"].version == 1
    model.all["i1"].kill()
    model.all["i2"].kill()
    model.all["i2"].lose_disk()

    model.all["i0"].start()
    model.all["i2"].start()
    model.run(2)
    model.all["i0"].propose(override_command(2))
    model.run(2)
    model.all["i1"].start()
    model.run(5)

    logs = [instance.replica.command_log for instance in model.all.values()]
    decided = {log[1].id for log in logs if 1 in log}
    assert len(decided) == 1, f"version 1 is decided twice: {sorted(decided)}"
