"""Stands in for the metrics."""

__all__ = ["RecordingObserver"]


class RecordingObserver:
    """Keeps the ends of all exchanges."""

    def __init__(self):
        self.ended = []

    def exchange_ended(self, exchange, result, now):
        """Note an end."""
        self.ended.append((exchange, result, now))

    def render(self):
        """Give an empty page."""
        return b""
