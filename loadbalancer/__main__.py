"""Entry point of the platform's `run` command: paces the loading of the program, then calls `platform.main`."""

import os
import signal

from loadbalancer.hot_restart.startup_pacing import begin

if __name__ == "__main__":
    # Guards against a new configuration that is announced while this loads: the signal would end the process. It waits,
    # and is heard once the handlers are there (Node.take_signals), after the file was read. Harm: none.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    pace = begin(os.environ)
    from loadbalancer.platform.main import main

    pace.end()
    main()
