"""What callers, backend servers and operators talk to, over HTTP."""
