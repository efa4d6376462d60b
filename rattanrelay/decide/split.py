"""Weighted distribution of the requests of a route over its services."""

__all__ = ["SmoothSplit"]


class SmoothSplit:
    """Smooth weighted round robin: any sequence of requests is divided close to the weights."""

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self.total = sum(weights.values())
        self.credit = dict.fromkeys(weights, 0.0)

    def next(self) -> str:
        """Return the service for the next request."""
        for name, weight in self.weights.items():
            self.credit[name] += weight
        chosen = max(self.credit, key=self.credit.__getitem__)
        self.credit[chosen] -= self.total
        return chosen
