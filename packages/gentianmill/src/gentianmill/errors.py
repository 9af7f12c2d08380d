"""Errors with a code, and the step and the peer where they occurred."""

import enum

from gentianmill.outcome import Outcome


class ErrorCode(enum.StrEnum):
    """Stable codes that callers and operators may rely on."""

    bad_request = 'bad_request'
    body_too_large = 'body_too_large'
    unauthorised = 'unauthorised'
    unknown_service = 'unknown_service'
    unknown_operation = 'unknown_operation'
    key_missing = 'key_missing'
    key_reused = 'key_reused'
    key_expired = 'key_expired'
    in_progress = 'in_progress'
    settled_not_run = 'settled_not_run'
    settlement_refused = 'settlement_refused'
    settlement_conflict = 'settlement_conflict'
    no_sheet = 'no_sheet'
    no_member = 'no_member'
    draining = 'draining'
    overloaded = 'overloaded'
    deadline = 'deadline'
    store_unavailable = 'store_unavailable'
    upstream_unreachable = 'upstream_unreachable'
    upstream_refused = 'upstream_refused'
    connection_lost = 'connection_lost'
    short_answer = 'short_answer'
    digest_mismatch = 'digest_mismatch'
    crash_suspect = 'crash_suspect'
    suspect_elsewhere = 'suspect_elsewhere'
    cancelled = 'cancelled'
    bad_settings = 'bad_settings'
    bad_sheet = 'bad_sheet'
    version_conflict = 'version_conflict'
    protocol = 'protocol'
    internal = 'internal'


class GentianmillError(Exception):
    """Base error, with what failed, in which step and at which peer."""

    def __init__(
        self,
        code: ErrorCode,
        step: str,
        peer: str,
        message: str,
        outcome: Outcome = Outcome.not_run,
        retry_after_ms: int = 0,
    ) -> None:
        """Create an error.

        Args:
            code: Stable code of the failure.
            step: Step in which it occurred, such as ``route`` or ``claim``.
            peer: Node id, upstream or file concerned; empty if none.
            message: One sentence for a person to read.
            outcome: What is known about the call that failed.
            retry_after_ms: Suggested pause before a resend, in ms; 0 if none.
        """
        super().__init__(message)
        self._code = code
        self._step = step
        self._peer = peer
        self._outcome = outcome
        self._retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        """Return message, code, step and peer in one line."""
        origin = f'code {self._code}, step {self._step}, peer {self._peer or "-"}'
        return f'{self.message} ({origin})'

    @property
    def code(self) -> ErrorCode:
        """Return the stable code."""
        return self._code

    @property
    def step(self) -> str:
        """Return the step in which the error occurred."""
        return self._step

    @property
    def peer(self) -> str:
        """Return the peer concerned, or an empty string."""
        return self._peer

    @property
    def message(self) -> str:
        """Return the sentence for a person to read."""
        return str(self.args[0])

    @property
    def outcome(self) -> Outcome:
        """Return what is known about the call that failed."""
        return self._outcome

    @property
    def retry_after_ms(self) -> int:
        """Return the suggested pause before a resend in ms; 0 if none."""
        return self._retry_after_ms
