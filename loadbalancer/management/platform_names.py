"""The platform's names for management: variables, keys and paths. They are defined only here."""

from __future__ import annotations

#: Key of the configuration, and environment variable, with the management address.
MANAGEMENT_KEY = "management"
MANAGEMENT_VARIABLE = "GW_MANAGEMENT"
#: Environment variable with the descriptor of the listening socket for clients, if the platform has opened it.
ACCEPT_VARIABLE = "GW_ACCEPT_FD"
#: Environment variable with the folder that a process shares with its predecessor.
FOLDER_VARIABLE = "TMPDIR"
HEALTH = "/admin/health"
STATS = "/admin/stats"
CORDON = "/admin/cordon"
UNCORDON = "/admin/uncordon"
#: Descriptors reserved for the management address: its maximum number of callers and its listening socket.
MANAGEMENT_SOCKETS = 17
