"""Entry point of the platform's `run` command: paces the imports of the program, then calls `platform.main`."""

import os
import signal

from loadbalancer.hot_restart.startup_pacing import begin

if __name__ == "__main__":
    # A SIGHUP during the imports would end the process; it is blocked until the handlers are installed.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    pacing = begin(os.environ)
    from loadbalancer.platform.main import main

    pacing.end()
    main()
