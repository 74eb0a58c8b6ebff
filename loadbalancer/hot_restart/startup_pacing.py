"""Loading the program without taking all of the processor, before anything else is loaded.

Guards against a start that uses up what the limits allow of a core: a process that is held back for it stands still for
a tenth of a second or more, and beside one that serves, that one stands still as well. Harm: a start takes longer, by
half alone and twice beside another process. Imports what the interpreter has loaded anyhow.
"""

import os
import sys
import time
from typing import Any, Mapping

from loadbalancer.management import platform_names as names

#: Seconds of rest for each second of work: alone, and beside a process that serves.
ALONE, BESIDE = 0.5, 2.0
#: Work after which to rest, in seconds of processor time.
WORK_S = 0.008
#: How the life files of the processes of one proxy begin (shared.py).
LIFE = "micastand-life-"


class StartupPacing:
    """A finder of modules that finds none, and rests instead."""

    def __init__(self, rest: float) -> None:
        self._rest, self._since = rest, 0.0  # all that the process has used until now counts

    def find_spec(self, *_: Any) -> None:
        used = time.process_time() - self._since
        if used > WORK_S:
            time.sleep(used * self._rest)
            self._since = time.process_time()

    def end(self) -> None:
        """Modules are loaded at full speed from here on."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)


def begin(environment: Mapping[str, str]) -> StartupPacing:
    """Rest between modules from now on."""
    pace = StartupPacing(BESIDE if _is_beside(environment) else ALONE)
    sys.meta_path.insert(0, pace)
    return pace


def _is_beside(environment: Mapping[str, str]) -> bool:
    """Whether another process of this proxy may be serving."""
    if not environment.get(names.ACCEPT_VARIABLE):
        return False
    try:
        return any(name.startswith(LIFE) for name in os.listdir(environment.get(names.FOLDER_VARIABLE, "")))
    except OSError:
        return False
