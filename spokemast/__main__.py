"""The command of the platform's `run`. Loading the program is paced first, then spokemast/run.py does the rest."""

import os

from spokemast.handover.pace import begin

if __name__ == "__main__":
    pace = begin(os.environ)
    from spokemast.run import main

    pace.end()
    main()
