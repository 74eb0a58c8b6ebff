"""The platform's names where operators are concerned: variables, keys, paths. They stand here alone."""

from __future__ import annotations

#: Key of the configuration, and variable, with the operators' address.
MANAGEMENT_KEY = "management"
MANAGEMENT_VARIABLE = "GW_MANAGEMENT"
#: Variable with the descriptor on which clients connect, where the platform holds that socket.
ACCEPT_VARIABLE = "GW_ACCEPT_FD"
#: Variable with the folder that a process shares with the one before it.
FOLDER_VARIABLE = "TMPDIR"
HEALTH = "/admin/health"
STATS = "/admin/stats"
CORDON = "/admin/cordon"
UNCORDON = "/admin/uncordon"
#: Descriptors kept for the management address: its callers at most, and its listening socket.
MANAGEMENT_SOCKETS = 17
