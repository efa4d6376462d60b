"""Status of a daemon for operators, also as gauges."""

from typing import Any

import trio

__all__ = ["Report"]

INTERVAL_S = 1.0


class Report:
    """Collects the status from the tasks of one daemon; keeps no state itself."""

    def __init__(self, daemon) -> None:
        self.daemon = daemon

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Refresh the gauges until cancelled."""
        task_status.started()
        while True:
            self._refresh()
            await trio.sleep(INTERVAL_S)

    def degraded(self) -> list[str]:
        """Return the codes of the conditions that limit service now."""
        daemon = self.daemon
        reasons = []
        if daemon.documents.configuration.value.table is None:
            reasons.append("no_table")
        if not daemon.members.epoch:
            reasons.append("no_view")
        elif daemon.members.lease_left() <= 0:
            reasons.append("no_quorum")
        if self.store_down():
            reasons.append("store_down")
        return reasons

    def store_down(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.daemon.store_down()

    def revisions(self) -> dict[str, dict[str, int]]:
        """Return the last known revision of each document by instance."""
        documents = self.daemon.documents
        here = {self.daemon.settings.instance: documents.digest()}
        return {**documents.reported, **here}

    def departed(self) -> list[str]:
        """Return the former members that are not known to have stopped."""
        view = self.daemon.members.view.value
        return [entry.member.instance for entry in view.departed] if view else []

    def status(self) -> dict[str, Any]:
        """Return the current status as JSON values."""
        daemon = self.daemon
        return {
            "instance": daemon.settings.instance,
            "incarnation": daemon.incarnation,
            "failure_domain": daemon.settings.failure_domain,
            "ready": not daemon.callers.not_ready_reason(),
            "reason": daemon.callers.not_ready_reason(),
            "epoch": daemon.members.epoch,
            "members": [member.instance for member in daemon.members.members],
            "lease_left_s": round(daemon.members.lease_left(), 3),
            "degraded": self.degraded(),
            "documents": dict(daemon.documents.digest()),
            "revisions": self.revisions(),
            "departed": self.departed(),
            "searchers": [item._asdict() for item in daemon.dispatch.searcher_statuses()],
            "blocked": [item._asdict() for item in daemon.dispatch.blocked()],
            "store_calls": dict(daemon.store.calls),
            "drain": daemon.drain.status(),
        }

    def _refresh(self) -> None:
        daemon = self.daemon
        metrics = daemon.metrics
        for kind, count in daemon.store.calls.items():
            metrics.store_calls.set({"kind": kind}, count)
        for name, revision in daemon.documents.digest().items():
            metrics.revision.set({"document": name}, revision)
        for name, state in daemon.entry.services.items():
            metrics.admission_limit.set({"service": name}, state.admission.limit.value)
        degraded = self.degraded()
        for reason in ("no_table", "no_view", "no_quorum", "store_down"):
            metrics.degraded.set({"reason": reason}, int(reason in degraded))
