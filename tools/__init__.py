"""Stand-ins and tools of the developers; not part of the product."""
