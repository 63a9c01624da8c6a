"""Which leading parts of a prompt an engine may have cached."""

import xxhash

#: Words of a prompt that share one prefix hash.
BLOCK_TOKENS = 64


def hash_blocks(
    prompt: str, block_tokens: int = BLOCK_TOKENS
) -> tuple[str, ...]:
    """Return a hash for each whole block of a prompt.

    Each hash covers the prompt up to the end of its block, so that equal
    hashes mean equal prefixes. A last block that isn't full has none.
    """
    words = prompt.split()
    hashes = []
    chain = xxhash.xxh64()
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = ' '.join(words[end - block_tokens : end])
        chain.update(f'{block} '.encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)
