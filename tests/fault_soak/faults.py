"""Faults in a random order, in series and overlapping."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from fault_soak.place import Place
from fault_soak.soak_store import SoakStore

STOP_LIMIT_S = 6.0
"""Grace time of the settings and a second."""

Fault = Callable[[Place], Awaitable[None]]


class Faults:
    """Harm VMs and the store for a while, always a few at a time."""

    def __init__(
        self, places: list[Place], store: SoakStore, seed: int, *, planned: bool
    ) -> None:
        """Create faults.

        Args:
            places: The VMs.
            store: The platform's store.
            seed: Order and times follow from it.
            planned: Whether only planned work happens, which may cost no request.
        """
        self.late_stops: list[str] = []
        self.history: list[str] = []
        self._places = places
        self._store = store
        self._rng = random.Random(seed)
        self._planned = planned
        self._harmed: set[str] = set()

    async def play(self, seconds: float) -> None:
        """Harm until the time is over, then let everything be well again."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running: set[asyncio.Future[None]] = set()
        while loop.time() < end_s:
            for place in self._places:
                if place.name not in self._harmed:
                    place.restart_if_ended()
            free = [place for place in self._places if place.name not in self._harmed]
            if len(free) > len(self._places) // 2:
                fault = self._rng.choice(self._kinds())
                place = self._rng.choice(free)
                running.add(asyncio.ensure_future(self._run(fault, place)))
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        await asyncio.gather(*running)

    def _kinds(self) -> list[Fault]:
        planned = [self._stop, self._hang_up, self._change_rules]
        if self._planned:
            return planned
        return [
            *planned,
            self._kill,
            self._pause,
            self._cut_store,
            self._lose_store_answers,
            self._reset_upstream,
            self._silence_upstream,
            self._lose_upstream_answers,
            self._trouble_upstream,
            self._fail_store,
            self._forget_history,
        ]

    async def _run(self, fault: Fault, place: Place) -> None:
        self.history.append(f'{fault.__name__.strip("_")} {place.name}')
        self._harmed.add(place.name)
        try:
            await fault(place)
        finally:
            self._harmed.discard(place.name)

    async def _stop(self, place: Place) -> None:
        place.send_signal(signal.SIGTERM)
        if not await place.wait_for_end(STOP_LIMIT_S):
            self.late_stops.append(place.name)
        place.start_node()
        await place.until_ready()

    async def _hang_up(self, place: Place) -> None:
        place.send_signal(signal.SIGHUP)

    async def _change_rules(self, _place: Place) -> None:
        self._store.next_rules()

    async def _kill(self, place: Place) -> None:
        place.send_signal(signal.SIGKILL)
        await place.wait_for_end(1)
        await asyncio.sleep(self._rng.uniform(0, 1))
        place.start_node()
        await place.until_ready()

    async def _pause(self, place: Place) -> None:
        place.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 3))
        place.send_signal(signal.SIGCONT)

    async def _cut_store(self, place: Place) -> None:
        place.to_store.hanging = True
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        place.to_store.hanging = False
        place.to_store.reset()

    async def _lose_store_answers(self, place: Place) -> None:
        place.to_store.losing_answers = True
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        place.to_store.losing_answers = False
        place.to_store.reset()

    async def _reset_upstream(self, place: Place) -> None:
        place.to_upstream.reset()

    async def _silence_upstream(self, place: Place) -> None:
        place.to_upstream.hanging = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        place.to_upstream.hanging = False
        place.to_upstream.reset()

    async def _lose_upstream_answers(self, place: Place) -> None:
        place.upstream.losing = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        place.upstream.losing = False

    async def _trouble_upstream(self, place: Place) -> None:
        place.upstream.troubled = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        place.upstream.troubled = False

    async def _fail_store(self, _place: Place) -> None:
        self._store.failing_status = self._rng.choice([503, 429])
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        self._store.failing_status = None

    async def _forget_history(self, _place: Place) -> None:
        self._store.forgotten = self._store.version
