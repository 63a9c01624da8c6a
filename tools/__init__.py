"""Stand-ins and developer tools; not part of the installed package."""
