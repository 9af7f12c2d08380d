"""Models that are checked exhaustively."""
