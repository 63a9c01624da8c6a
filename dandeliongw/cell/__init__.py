"""Cells: ownership of a service's backend servers, and their scheduling."""
