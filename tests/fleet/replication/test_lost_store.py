"""A voter whose store was lost, where those that it meets first have never seen that store."""

from __future__ import annotations

from replica_model import override_command

from emulator.fleetstate import StateModel


def test_a_lost_store_votes_only_once_all_decided_commands_are_known() -> None:
    """Two voters decide a command; one loses its store and meets the third, which has seen neither."""
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

    logs = [instance.versions.command_log for instance in model.all.values()]
    decided = {log[1].id for log in logs if 1 in log}
    assert len(decided) == 1, f"version 1 is decided twice: {sorted(decided)}"
