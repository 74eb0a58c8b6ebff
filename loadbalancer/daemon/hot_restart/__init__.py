"""Hot restart of a daemon: a new process takes over the sockets, a snapshot and the store of the old one."""
