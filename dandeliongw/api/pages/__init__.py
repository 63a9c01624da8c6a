"""The HTML of the console, generated without any I/O."""
