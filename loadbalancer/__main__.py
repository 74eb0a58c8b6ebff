"""Entry point of the platform's `run` command: paces the loading of the program, then calls `platform.main`."""

import os
import signal

from loadbalancer.hot_restart.startup_pacing import begin

if __name__ == "__main__":
    # A SIGHUP that comes while this loads would end the process; it waits until the handlers are there.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    pace = begin(os.environ)
    from loadbalancer.platform.main import main

    pace.end()
    main()
