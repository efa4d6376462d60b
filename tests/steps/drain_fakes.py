"""Fake of the tasks of a daemon that a planned stop uses."""

import trio

STOP_TIMEOUT_S = 15.0
GRACE_S = 1.0


class FakePort:
    """Tasks of a daemon whose work takes `seconds`, and never ends for the phases in `hanging`."""

    def __init__(self, *, seconds=0.0, hanging=(), down=False, grace=GRACE_S):
        self.seconds = seconds
        self.hanging = hanging
        self.down = down
        self.balancer_grace = float("inf") if "not_ready" in hanging else grace
        self.begun = []

    async def _work(self, phase):
        self.begun.append(phase)
        if phase in self.hanging:
            await trio.sleep_forever()
        await trio.sleep(self.seconds)

    def stop_ready(self):
        self.begun.append("not_ready")

    async def finish_requests(self):
        await self._work("closing" if "finishing" in self.begun else "finishing")

    async def leave_view(self):
        await self._work("leaving_view")

    async def hand_over(self):
        await self._work("handing_over")

    async def flush_claims(self):
        await self._work("flushing_claims")

    def store_down(self):
        return self.down
