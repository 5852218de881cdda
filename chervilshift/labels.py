"""Labels of metrics in the Prometheus text exposition format."""

__all__ = ["label_text"]


def label_text(**labels: str) -> str:
    """Return labels as they stand between the braces of a metric."""
    return ",".join(
        f'{name}="{_escaped(value)}"' for name, value in labels.items()
    )


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
