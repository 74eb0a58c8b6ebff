"""Apache balancer and mod_jk files into our own configuration; refuses to guess. No I/O but an opener handed in."""
