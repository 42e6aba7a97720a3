"""Sends counters, gauges and timings to a statsd server over UDP."""

import statsd

PREFIX = "cranberrywheel"


class Metrics:
    """Sends metrics, or discards them if no server is configured.

    Lost datagrams are not sent again, so that no caller waits for the server.

    :param host: IP number of the server, or ``""`` for none.
    :param port: UDP port.
    """

    def __init__(self, host: str = "", port: int = 8125) -> None:
        self._client = statsd.StatsClient(host, port, prefix=PREFIX) if host else None

    def count(self, name: str, by: int = 1) -> None:
        """Increment a counter.

        :param name: dotted name below ``cranberrywheel``.
        """
        if self._client:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: dotted name below ``cranberrywheel``.
        """
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: int) -> None:
        """Record a duration in milliseconds.

        :param name: dotted name below ``cranberrywheel``.
        """
        if self._client:
            self._client.timing(name, duration_ms)
