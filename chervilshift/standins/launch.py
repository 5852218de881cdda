"""Creates a stand-in from its settings file."""

from pathlib import Path

import anyio
import msgspec

from chervilshift.core.registry import ENGINE
from chervilshift.standins.engine import Behaviour, EngineStandin
from chervilshift.standins.process import StandinProcess, StandinSettings
from chervilshift.standins.service import ServiceBehaviour, ServiceStandin

__all__ = ["make_standin", "standin_run"]


def make_standin(settings: StandinSettings, behaviour: dict) -> StandinProcess:
    """Return a stand-in of the kind in the settings."""
    if settings.kind == ENGINE:
        standin = EngineStandin(
            behaviour=msgspec.convert(behaviour, type=Behaviour)
        )
    else:
        standin = ServiceStandin(
            name=settings.id,
            behaviour=msgspec.convert(behaviour, type=ServiceBehaviour),
        )
    return StandinProcess(settings=settings, standin=standin)


def standin_run(path: Path):
    """Return the run function of the stand-in in a settings file."""
    data = msgspec.yaml.decode(path.read_bytes())
    behaviour = data.pop("behaviour", {})
    process = make_standin(
        msgspec.convert(data, type=StandinSettings), behaviour
    )

    async def run(stop: anyio.Event) -> None:
        await process.run(stop)

    return run
