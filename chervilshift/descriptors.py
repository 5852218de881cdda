"""How many file descriptors this process may have open."""

import resource
import sys

__all__ = ["max_descriptors"]


def max_descriptors() -> int:
    """Return the limit of open descriptors, a large number without one."""
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sys.maxsize if files == resource.RLIM_INFINITY else files
