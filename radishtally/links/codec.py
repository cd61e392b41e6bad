"""Encoding and decoding of message frames."""

from typing import Any, Final

import msgspec
from grpclib.encoding.base import CodecBase

from radishtally.links.kinds import KINDS, Message
from radishtally.outcome import Error, Fault, Ok, Result

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
"""Larger than the largest request body, so that an offer always fits."""

_KIND_NUMBERS: Final = {kind: number for number, kind in enumerate(KINDS)}
_ENCODER: Final = msgspec.msgpack.Encoder()
_PAIR_DECODER: Final = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_DECODERS: Final = tuple(msgspec.msgpack.Decoder(kind) for kind in KINDS)


def encode_frame(messages: list[Message]) -> bytes:
    """Encode messages as one frame."""
    return _ENCODER.encode([(_KIND_NUMBERS[type(m)], m) for m in messages])


def decode_frame(frame: bytes) -> Result[list[Message], Fault]:
    """Decode a frame; skip messages of kinds that only newer releases know."""
    if len(frame) > MAX_FRAME_BYTES:
        return Error(Fault(f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"))
    try:
        pairs = _PAIR_DECODER.decode(frame)
        return Ok([_DECODERS[n].decode(raw) for n, raw in pairs if 0 <= n < len(KINDS)])
    except (msgspec.MsgspecError, RecursionError) as error:
        return Error(Fault(f"invalid frame: {error}"))


class FrameCodec(CodecBase):
    """Pass frames through grpclib unchanged, as they are encoded already."""

    __content_subtype__ = "radishtally"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the frame unchanged."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the frame unchanged."""
        return data
