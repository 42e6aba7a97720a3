"""Record of a wave's progress, from which a new leader goes on."""

import dataclasses
import json

from cranberrywheel.json_body import FIELD_ERRORS
from cranberrywheel.logs import ComponentLogger

_log = ComponentLogger("duties")


@dataclasses.dataclass(frozen=True, slots=True)
class WaveProgress:
    """What earlier leaders recorded of a wave.

    :param begun: machines whose maintenance has begun.
    :param received_unix_ms: Unix time at which the first of them read the wave, or 0 if
        that is not known.
    """

    begun: frozenset[str] = frozenset()
    received_unix_ms: int = 0


def encode_progress(progress: WaveProgress) -> bytes:
    """Encode the progress of a wave."""
    row = {
        "begun": sorted(progress.begun),
        "receivedUnixMs": progress.received_unix_ms,
    }
    return json.dumps(row).encode()


def decode_progress(value: bytes) -> WaveProgress:
    """Decode the progress of a wave; that of a new wave if the record is invalid.

    The platform refuses a second maintenance of the same wave, so nothing is lost.
    """
    try:
        row = json.loads(value)
        if isinstance(row, list):  # written by an earlier version
            return WaveProgress(frozenset(map(str, row)))
        begun = frozenset(map(str, row["begun"]))
        return WaveProgress(begun, int(row["receivedUnixMs"]))
    except FIELD_ERRORS as error:
        _log.warning("record of a wave cannot be decoded; ignored", error=repr(error))
        return WaveProgress()
