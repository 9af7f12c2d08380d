"""Base class of the frames that nodes exchange."""

import msgspec


class Frame(msgspec.Struct, tag=True, array_like=True, kw_only=False):
    """Set the msgpack form of a frame: an array that starts with its type name."""
