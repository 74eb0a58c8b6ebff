"""The command of the platform's `run`. Loading the program is paced first, then spokemast/run.py does the rest."""

import os
import signal

from spokemast.handover.pace import begin

if __name__ == "__main__":
    # Guards against a new configuration that is announced while this loads: the signal would end the process. It waits,
    # and is heard once the handlers are there (Node.take_signals), after the file was read. Harm: none.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    pace = begin(os.environ)
    from spokemast.run import main

    pace.end()
    main()
