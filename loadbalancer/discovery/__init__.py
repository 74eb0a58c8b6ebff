"""Sources of endpoint lists, and the administrative overrides that operators apply to them.

`watch.py` watches the platform's discovery service, `static_list.py` reads the configuration and files; `overrides.py`
and `platform_overrides.py` hold administrative overrides; `list_handoff.py` passes a list to another instance.
"""
