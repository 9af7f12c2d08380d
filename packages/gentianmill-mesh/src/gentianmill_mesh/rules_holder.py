"""The routing rules in force on a node."""

import abc
from collections.abc import Awaitable, Callable

from gentianmill.route_rules import RuleSet
from gentianmill.teams import Team
from gentianmill_node.background import spawn
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
        self._check: Callable[[int], Awaitable[None]] | None = None
        # Rules of the source that wait for the check, and their version.
        self._unchecked = b''
        self._unchecked_version = -1
        self._is_checking = False

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

    def check_first(self, check: Callable[[int], Awaitable[None]]) -> None:
        """Check the first rules with other nodes if the source can't be trusted alone.

        Args:
            check: Returns when other nodes have offered newer rules than a version, or
                have none.
        """
        self._check = check

    def offer_unconfirmed(self, document: bytes, source: str) -> None:
        """Apply rules of a source that may have been restored from an older copy.

        Later versions need no check, as an older one never replaces those in force.

        Args:
            document: The rules in the format of the platform.
            source: Where the rules come from, for the log.
        """
        if self._check is None or self._rules is not None:
            self.offer(document, source)
            return
        try:
            version = self._decoder.decode(document).version
        except ValueError as error:
            log.error('Rules not readable.', source=source, error=str(error))
            return
        if version > self._unchecked_version:
            self._unchecked = document
            self._unchecked_version = version
        if not self._is_checking:
            self._is_checking = True
            spawn(self._offer_checked(self._check, source), 'check first rules')

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

    def serve_unconfirmed(self) -> None:
        """Serve by rules that nothing has confirmed, as the source stays silent."""
        if self.is_withheld:
            self._is_confirmed = True
            log.warning('Rules served unconfirmed.', version=self.version)

    async def _offer_checked(
        self, check: Callable[[int], Awaitable[None]], source: str
    ) -> None:
        try:
            await check(self._unchecked_version)
        finally:
            self.offer(self._unchecked, source)

    def _notify(self, listener: Callable[[RuleSet], None], rules: RuleSet) -> None:
        try:
            listener(rules)
        except Exception:
            # The rules are in force; a fault in one listener must not reach the source.
            log.exception('Listener failed.', version=rules.version)
