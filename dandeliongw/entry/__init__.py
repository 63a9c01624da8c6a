"""The life of a request at the instance that its caller chose."""
