"""Hashes of a prompt's prefixes, to match them with engines' caches."""

import xxhash

#: Size of a block, in words; each block has one hash.
BLOCK_TOKENS = 64


def hash_blocks(
    prompt: str, block_tokens: int = BLOCK_TOKENS
) -> tuple[str, ...]:
    """Return a hash for each full block of a prompt.

    Each hash covers the prompt up to the end of its block, so that equal
    hashes mean equal prefixes. An incomplete last block has no hash.
    """
    words = prompt.split()
    hashes = []
    chain = xxhash.xxh64()
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = ' '.join(words[end - block_tokens : end])
        chain.update(f'{block} '.encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)
