"""The life cycle of a request at its entry, the instance it arrived at."""
