"""Translates Apache mod_proxy_balancer and mod_jk configurations into this proxy's own configuration.

What it cannot translate it reports instead of guessing. It does no I/O except through the opener passed by the caller.
"""
