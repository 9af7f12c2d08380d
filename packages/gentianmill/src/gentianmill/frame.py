"""Base class of the frames that nodes exchange."""

import msgspec


class Frame(msgspec.Struct, tag=True, array_like=True, kw_only=False):
    """Base of all frames, encoded as a msgpack array that starts with the type name."""
