"""What the console shows: pages made from values, without any I/O."""
