"""Counters, gauges and timings, sent to a statsd server over UDP."""

import statsd

PREFIX = "cranberrywheel"


class Metrics:
    """Sends metrics, or drops them if no server is set.

    A lost datagram is lost: nothing waits for the metrics server.

    :param host: IP number of the server, or ``""`` for none.
    :param port: UDP port.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self._client = statsd.StatsClient(host, port, prefix=PREFIX) if host else None

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name below ``cranberrywheel``.
        """
        if self._client:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: int) -> None:
        """Add a duration in milliseconds."""
        if self._client:
            self._client.timing(name, duration_ms)
