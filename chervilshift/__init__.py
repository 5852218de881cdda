"""chervilshift: serves language models on reclaimable hosts."""

import sys

# httpcore imports trio where it is installed, and that import starts a child
# process to look for a library. chervilshift does not use trio.
sys.modules.setdefault("trio", None)

__version__ = "0.1.0"
