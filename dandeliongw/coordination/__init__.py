"""Coordination parts that stand without the daemon.

No module in this subpackage does I/O, reads a clock or draws a random
number: time and entropy arrive in events, and what is to be done leaves as
effects. Nothing here imports a module of the daemon.
"""
