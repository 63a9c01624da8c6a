"""HTTP front ends for callers, backend servers and operators."""
