"""Order of waiting requests: by rank, then fairly by workspace, with a least share for each."""

from collections import OrderedDict, deque
from typing import Protocol

__all__ = ["REMEMBERED_S", "TurnQueue", "Waiting"]

#: Part of the mean share of the workspaces that each of them gets whatever the ranks of others are.
LEAST_SHARE = 0.25
#: Time in seconds for which a workspace whose requests were refused still earns its least share.
REMEMBERED_S = 3.0
#: Turns of its last request that a workspace may have saved up.
SAVED_TURNS = 2.0
#: Workspaces that are remembered at most; more of them are refused without earning anything.
MAX_STANDINGS = 1024


class Waiting(Protocol):
    """A request that waits; `cost` is what it takes of the capacity, in any unit."""

    workspace: str
    rank: int
    cost: float


class _Flow:
    """Requests of one workspace and rank in order of arrival."""

    def __init__(self) -> None:
        self.requests: deque[Waiting] = deque()
        self.total = 0.0
        #: Cost that it may still use before the next workspace has its turn.
        self.deficit = 0.0


class _Standing:
    """What a workspace has earned of its least share and not used."""

    def __init__(self) -> None:
        self.credit = 0.0
        self.waiting = 0
        self.refused_at = float("-inf")


class TurnQueue:
    """Requests that wait for the same capacity.

    The lowest rank goes first, and the workspaces of a rank take turns (deficit round robin). Each
    workspace that waits also earns `LEAST_SHARE` of the mean share of what is started, and goes
    before all ranks once that covers its next request. A refused one goes on to earn for some
    seconds, since it would otherwise be refused each time on account of more urgent ones.
    """

    def __init__(self) -> None:
        self.ranks: dict[int, OrderedDict[str, _Flow]] = {}
        self.standings: dict[str, _Standing] = {}
        self.waiting = 0
        #: Highest cost of a request since the queue was empty; one turn.
        self.turn = 0.0

    def __len__(self) -> int:
        return self.waiting

    def push(self, request: Waiting) -> None:
        """Add a request behind the others of its workspace and rank."""
        flows = self.ranks.setdefault(request.rank, OrderedDict())
        flow = flows.get(request.workspace)
        if flow is None:
            flow = flows[request.workspace] = _Flow()
        flow.requests.append(request)
        flow.total += request.cost
        self.waiting += 1
        self.turn = max(self.turn, request.cost)
        self._standing(request.workspace).waiting += 1

    def first(self) -> Waiting | None:
        """Return the request whose turn it is, None if none waits; it stays in the queue."""
        if not self.waiting:
            return None
        return self._entitled() or self._head(min(self.ranks))

    def remove(self, request: Waiting) -> None:
        """Remove a request that did not start."""
        flows = self.ranks[request.rank]
        flow = flows[request.workspace]
        flow.requests.remove(request)
        flow.total -= request.cost
        self.waiting -= 1
        self.standings[request.workspace].waiting -= 1
        if not flow.requests:
            del flows[request.workspace]
            if not flows:
                del self.ranks[request.rank]

    def start(self, request: Waiting, now: float) -> None:
        """Remove a request that starts, and account for it."""
        # One that started by its least share was not in turn, and owes one turn at most.
        flow = self.ranks[request.rank][request.workspace]
        flow.deficit = max(flow.deficit - request.cost, -self.turn)
        self._forget(now)
        earned = LEAST_SHARE * request.cost / len(self.standings)
        most = SAVED_TURNS * self.turn
        for standing in self.standings.values():
            standing.credit = min(most, standing.credit + earned)
        standing = self.standings[request.workspace]
        standing.credit = max(-most, standing.credit - request.cost)
        self.remove(request)
        if not self.waiting:
            self.turn = 0.0

    def refused(self, request: Waiting, now: float) -> None:
        """Record that a request was refused for lack of capacity."""
        if len(self.standings) >= MAX_STANDINGS:
            self._forget(now)
        if len(self.standings) < MAX_STANDINGS or request.workspace in self.standings:
            self._standing(request.workspace).refused_at = now

    def ahead(self, request: Waiting) -> float:
        """Return the cost that starts before a request that is added now, as far as is known."""
        before = own = 0.0
        for rank, flows in self.ranks.items():
            if rank > request.rank:
                continue
            flow = flows.get(request.workspace)
            mine = flow.total if flow is not None else 0.0
            own += mine
            for other in flows.values():
                before += other.total if rank < request.rank else min(other.total, mine + self.turn)
        standing = self.standings.get(request.workspace)
        if standing is None:
            return before
        missing = max(0.0, own + request.cost - standing.credit)
        return min(before, missing * len(self.standings) / LEAST_SHARE)

    def victim(self, arriving: Waiting | None) -> Waiting | None:
        """Return the request that leaves a full queue for one that arrives, None if none does.

        It is the newest of the workspace that waits with most, among the least urgent. If the one
        that arrives is for another queue, one always leaves.
        """
        if not self.ranks or (arriving is not None and max(self.ranks) < arriving.rank):
            return None
        worst = max(self.ranks)
        flows = self.ranks[worst]
        longest = max(flows.values(), key=lambda flow: len(flow.requests))
        if arriving is not None and worst == arriving.rank:
            own = flows.get(arriving.workspace)
            mine = len(own.requests) if own is not None else 0
            if mine + 1 >= len(longest.requests):
                return None
        return longest.requests[-1]

    def all(self) -> list[Waiting]:
        """Return all that wait."""
        flows = [flow for rank in self.ranks.values() for flow in rank.values()]
        return [request for flow in flows for request in flow.requests]

    def _entitled(self) -> Waiting | None:
        """Return a request that the least share of its workspace covers, the most entitled one."""
        best, best_credit = None, 0.0
        for name, standing in self.standings.items():
            if standing.waiting and standing.credit > best_credit:
                rank = min(rank for rank, flows in self.ranks.items() if name in flows)
                head = self.ranks[rank][name].requests[0]
                if standing.credit >= head.cost:
                    best, best_credit = head, standing.credit
        return best

    def _head(self, rank: int) -> Waiting:
        flows = self.ranks[rank]
        while True:
            name, flow = next(iter(flows.items()))
            head = flow.requests[0]
            if flow.deficit >= head.cost:
                return head
            flow.deficit += self.turn
            flows.move_to_end(name)

    def _standing(self, workspace: str) -> _Standing:
        standing = self.standings.get(workspace)
        if standing is None:
            standing = self.standings[workspace] = _Standing()
        return standing

    def _forget(self, now: float) -> None:
        """Forget workspaces that neither wait nor were refused a short time ago."""
        gone = [
            name
            for name, one in self.standings.items()
            if not one.waiting and now - one.refused_at > REMEMBERED_S
        ]
        for name in gone:
            del self.standings[name]
