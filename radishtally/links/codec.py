"""Turn messages into frames and back."""

from typing import Any, Final

import msgspec
from grpclib.encoding.base import CodecBase

from radishtally.links.messages import KINDS, Message
from radishtally.outcome import Error, Fault, Ok, Result

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
"""More than the largest request body, so that one offer always fits."""

_NUMBER_OF: Final = {kind: number for number, kind in enumerate(KINDS)}
_ENCODER: Final = msgspec.msgpack.Encoder()
_PAIRS: Final = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_DECODERS: Final = tuple(msgspec.msgpack.Decoder(kind) for kind in KINDS)


def encode_frame(messages: list[Message]) -> bytes:
    """Put messages into one frame."""
    return _ENCODER.encode([(_NUMBER_OF[type(m)], m) for m in messages])


def decode_frame(frame: bytes) -> Result[list[Message], Fault]:
    """Read a frame; a kind from a newer release is passed over, a bad one is not."""
    if len(frame) > MAX_FRAME_BYTES:
        return Error(Fault(f"frame of {len(frame)} bytes is over {MAX_FRAME_BYTES}"))
    try:
        pairs = _PAIRS.decode(frame)
        return Ok([_DECODERS[n].decode(raw) for n, raw in pairs if 0 <= n < len(KINDS)])
    except (msgspec.MsgspecError, RecursionError) as error:
        return Error(Fault(f"bad frame: {error}"))


class FrameCodec(CodecBase):
    """Hand frames to grpclib as they are: they are encoded once, by us."""

    __content_subtype__ = "radishtally"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Pass a frame through."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Pass a frame through."""
        return data
