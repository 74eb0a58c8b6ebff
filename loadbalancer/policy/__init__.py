"""The decision module in files, one matter each; `Balancer` in choice.py is what is called. No I/O."""
