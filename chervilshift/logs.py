"""JSON-line logs through absl.logging."""

import json
import logging as std_logging
import sys
from datetime import UTC, datetime

from absl import flags, logging

__all__ = ["setup"]


class JsonFormatter(std_logging.Formatter):
    """Formats one log record as one line of JSON."""

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the record as a JSON object on one line."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "process": self._process,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def setup(*, process: str, verbosity: str = "info") -> None:
    """Send this process's logs to stderr as JSON lines.

    `verbosity` is a level name of absl: debug, info, warning, error, fatal.
    """
    # No absl flags are used, and absl warns until flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(JsonFormatter(process))
    logging.set_verbosity(verbosity)
    std_logging.getLogger("grpclib").setLevel(std_logging.CRITICAL)
    std_logging.getLogger("asyncio").setLevel(std_logging.ERROR)
