"""Paces the import of the program's modules, to limit its processor use; started before any other module is loaded.

A start that uses up its processor quota is throttled by the kernel for a tenth of a second or more, and so is a process
that serves beside it. The trade-off: a start takes half as long again, and three times as long beside another process.
This module imports only modules that the interpreter has loaded already.
"""

import os
import sys
import time
from typing import Any, Mapping

from loadbalancer.management import platform_names as names

#: Seconds of sleep for each second of processor time: alone, and beside a process that serves.
SLEEP_SHARE_ALONE = 0.5
SLEEP_SHARE_BESIDE = 2.0
#: Processor time in seconds after which to sleep.
WORK_S = 0.008
#: Prefix of the names of the files of running processes (`shared_files.py`).
PROCESS_FILE_PREFIX = "micastand-life-"


class StartupPacing:
    """An import finder that finds no module, and sleeps when it is called, if a sleep is due."""

    def __init__(self, sleep_share: float) -> None:
        """Sleep for `sleep_share` seconds per second of processor time, counted from the start of the process."""
        self._sleep_share = sleep_share
        self._slept_at = 0.0  # processor time

    def find_spec(self, *_: Any) -> None:
        """Sleep if it is due; called by the interpreter before it searches for a module."""
        worked = time.process_time() - self._slept_at
        if worked > WORK_S:
            time.sleep(worked * self._sleep_share)
            self._slept_at = time.process_time()

    def end(self) -> None:
        """Stop pacing: import at full speed from now on."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)


def begin(environment: Mapping[str, str]) -> StartupPacing:
    """Start pacing: sleep between imports from now on."""
    pacing = StartupPacing(SLEEP_SHARE_BESIDE if _is_beside_another(environment) else SLEEP_SHARE_ALONE)
    sys.meta_path.insert(0, pacing)
    return pacing


def _is_beside_another(environment: Mapping[str, str]) -> bool:
    """Return whether another process of this proxy may be serving."""
    if not environment.get(names.ACCEPT_VARIABLE):
        return False
    try:
        files = os.listdir(environment.get(names.FOLDER_VARIABLE, ""))
    except OSError:
        return False
    return any(name.startswith(PROCESS_FILE_PREFIX) for name in files)
