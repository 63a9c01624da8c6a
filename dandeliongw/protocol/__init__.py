"""Generated protobuf code; ``scripts/protocol`` makes it anew."""
