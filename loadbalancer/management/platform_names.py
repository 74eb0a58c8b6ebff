"""The platform's names for the operators' days: variables, keys, paths. Nothing else in the product knows them."""

from __future__ import annotations

#: Key of the configuration, and variable, with the operators' address.
MANAGEMENT_KEY, MANAGEMENT_VARIABLE = "management", "GW_MANAGEMENT"
#: Variable with the number of the descriptor on which clients connect, where the platform holds that socket.
ACCEPT_VARIABLE = "GW_ACCEPT_FD"
#: Folder that a process shares with the one before it.
FOLDER_VARIABLE = "TMPDIR"
HEALTH, STATS, CORDON, UNCORDON = "/admin/health", "/admin/stats", "/admin/cordon", "/admin/uncordon"
#: Descriptors kept for the management address: its callers at most, and its listening socket.
MANAGEMENT_SOCKETS = 17
