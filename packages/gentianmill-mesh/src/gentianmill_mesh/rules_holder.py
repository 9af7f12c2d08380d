"""The routing rules in force on a node."""

import abc
from collections.abc import Callable

from gentianmill.route_rules import RuleSet
from gentianmill.teams import Team
from gentianmill_node.logs import component

log = component('rules')


class RulesDecoder(abc.ABC):
    """Decode routing rules from the format of the platform."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> RuleSet:
        """Return the rules in a document.

        Raises:
            ValueError: If the document does not contain valid rules.
        """


class RulesHolder:
    """Hold the newest rules; an older version never replaces them."""

    def __init__(self, decoder: RulesDecoder) -> None:
        """Create a holder without rules.

        Args:
            decoder: Decodes documents.
        """
        self._decoder = decoder
        self._rules: RuleSet | None = None
        self._document = b''
        self._listeners: list[Callable[[RuleSet], None]] = []
        self._rejected = b''
        self._is_confirmed = False

    @property
    def served(self) -> RuleSet | None:
        """Return the rules by which requests are served, or None.

        Rules with teams that an earlier process or another node may have replaced could
        hold keys that are withdrawn, so they serve nothing before they are confirmed.
        """
        return None if self.is_withheld else self._rules

    @property
    def is_withheld(self) -> bool:
        """Return whether the rules in force must not serve requests yet."""
        rules = self._rules
        if rules is None or rules.teams.is_empty:
            return False
        return not self._is_confirmed

    @property
    def rejected(self) -> bytes:
        """Return the last document that was not readable."""
        return self._rejected

    @property
    def rules(self) -> RuleSet | None:
        """Return the rules in force, or None before the first."""
        return self._rules

    @property
    def version(self) -> int:
        """Return the version in force, or -1 before the first."""
        return self._rules.version if self._rules else -1

    @property
    def document(self) -> bytes:
        """Return the rules in force in the format of the platform."""
        return self._document

    def find_team(self, name: str) -> Team | None:
        """Return a team of the rules in force by its name, or None."""
        return self._rules.teams.find(name) if self._rules else None

    def on_change(self, listener: Callable[[RuleSet], None]) -> None:
        """Register a function to be called with each new version."""
        self._listeners.append(listener)

    def offer(self, document: bytes, source: str) -> bool:
        """Apply rules if they are newer than those in force.

        Args:
            document: The rules in the format of the platform.
            source: Where the rules come from, for the log.

        Returns:
            Whether the rules were applied.
        """
        try:
            rules = self._decoder.decode(document)
        except ValueError as error:
            log.error('Rules not readable.', source=source, error=str(error))
            self._rejected = document
            return False
        if rules.version <= self.version:
            return False
        log.info(
            'Rules in force.',
            version=rules.version,
            before=self.version,
            source=source,
            routes=len(rules.rules),
        )
        self._rules = rules
        self._document = document
        for listener in self._listeners:
            self._notify(listener, rules)
        return True

    def confirm_newest(self) -> None:
        """Record that the rules in force were the newest at a time of this process.

        It holds for all later ones, too, as versions only increase.
        """
        if not self._is_confirmed and self._rules is not None:
            self._is_confirmed = True
            log.info('Rules confirmed as the newest.', version=self.version)

    def _notify(self, listener: Callable[[RuleSet], None], rules: RuleSet) -> None:
        try:
            listener(rules)
        except Exception:
            # The rules are in force; a fault in one listener must not reach the source.
            log.exception('Listener failed.', version=rules.version)
