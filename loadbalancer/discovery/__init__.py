"""Where endpoint lists come from, and what operators say above them.

`watch.py` follows the platform's discovery service, `static_list.py` the configuration and files; `overrides.py` and
`platform_overrides.py` hold administrative overrides; `list_handoff.py` passes a list to another instance.
"""
