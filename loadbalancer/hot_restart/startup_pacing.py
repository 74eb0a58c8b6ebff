"""Loads the program without taking all of the processor; begun before anything else is loaded.

A start that uses up what the limits allow of a core is held back by the kernel for a tenth of a second or more, and
with it a process that serves beside it. The trade-off: a start takes half as long again, and three times as long beside
another process. It imports only what the interpreter has loaded anyhow.
"""

import os
import sys
import time
from typing import Any, Mapping

from loadbalancer.management import platform_names as names

#: Seconds of rest for each second of work: alone, and beside a process that serves.
REST_SHARE_ALONE = 0.5
REST_SHARE_BESIDE = 2.0
#: Processor time in seconds after which to rest.
WORK_S = 0.008
#: How the files of the living processes of one proxy begin (`shared_files.py`).
PROCESS_FILE_PREFIX = "micastand-life-"


class StartupPacing:
    """A finder of modules that finds none, and rests instead."""

    def __init__(self, rest_share: float) -> None:
        """Rest for so many seconds for each second of work; all work of the process so far counts."""
        self._rest_share = rest_share
        self._rested_at = 0.0  # processor time

    def find_spec(self, *_: Any) -> None:
        """Rest if it is due; called by the interpreter before it looks for a module."""
        worked = time.process_time() - self._rested_at
        if worked > WORK_S:
            time.sleep(worked * self._rest_share)
            self._rested_at = time.process_time()

    def end(self) -> None:
        """Load at full speed from here on."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)


def begin(environment: Mapping[str, str]) -> StartupPacing:
    """Rest between modules from now on."""
    pacing = StartupPacing(REST_SHARE_BESIDE if _is_beside_another(environment) else REST_SHARE_ALONE)
    sys.meta_path.insert(0, pacing)
    return pacing


def _is_beside_another(environment: Mapping[str, str]) -> bool:
    """Whether another process of this proxy may be serving."""
    if not environment.get(names.ACCEPT_VARIABLE):
        return False
    try:
        files = os.listdir(environment.get(names.FOLDER_VARIABLE, ""))
    except OSError:
        return False
    return any(name.startswith(PROCESS_FILE_PREFIX) for name in files)
