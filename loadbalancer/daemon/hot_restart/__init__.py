"""Hot restart of a daemon: a new process takes sockets, a snapshot and the store over from the old one."""
