"""Coordination parts, which do not depend on the daemon.

No module in this subpackage does I/O, reads a clock or draws a random
number: time and entropy arrive in events, and the actions to take are
returned as effects. Nothing here imports a module of the daemon.
"""
