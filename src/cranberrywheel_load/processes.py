"""Child processes, free ports and waits with a timeout."""

import fcntl
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
PORT_COUNT = 20_000
#: Holds a file for each port, which the process that reserves the port locks.
RESERVATION_FOLDER = (
    pathlib.Path(tempfile.gettempdir()) / f"cranberrywheel-ports-{os.getuid()}"
)
#: More than a cluster with all its workers and relays uses.
PORT_STRIDE_PER_PROCESS = 500
#: End of the log that an error message shows.
LOG_END_CHARS = 1_000
#: Time that a process gets to exit after SIGTERM before it is killed.
EXIT_TIMEOUT_S = 20.0


class WaitTimeoutError(Exception):
    """A condition did not become true within the timeout."""


def wait_until(
    condition: t.Callable[[], t.Any], timeout_s: float, description: str
) -> t.Any:
    """Poll a condition until it is true.

    :param description: description of the condition for the error message.
    :returns: the first true value of the condition.
    :raises WaitTimeoutError: if it is still false after ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline_s:
            raise WaitTimeoutError(f"not within {timeout_s:g} s: {description}")
        time.sleep(POLL_INTERVAL_S)


def find_free_ports(count: int, host: str = HOST) -> list[int]:
    """Return distinct ports that are free and reserved for this process.

    The ports lie below the kernel's ephemeral port range, since an outgoing
    connection could otherwise occupy a port before its server binds it. The first
    candidate depends on the process id, because tests run in parallel.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidate_ports)
        if not _reserve_port(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _reserve_port(port: int) -> bool:
    """Reserve a port until this process ends.

    Between the check that a port is free and the start of its server, another test
    run could find the same port.

    :returns: whether no other process has reserved it.
    """
    RESERVATION_FOLDER.mkdir(exist_ok=True)
    file = (RESERVATION_FOLDER / str(port)).open("w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _reservations.append(file)
    return True


def _generate_candidate_ports() -> t.Iterator[int]:
    first = os.getpid() * PORT_STRIDE_PER_PROCESS
    for number in itertools.count(first):
        yield FIRST_PORT + number % PORT_COUNT


_candidate_ports = _generate_candidate_ports()
#: Locked files of the reserved ports; the kernel releases the locks with the process.
_reservations: list[t.TextIO] = []


#: Line written to the log before each start of a process.
START_LINE = "== process start =="


class ManagedProcess:
    """A Python module that runs as a child process and writes to a log file.

    :param name: name used in messages and for the log file.
    :param arguments: module and its command-line arguments.
    :param folder: folder of the log file.
    :param environment: additional environment variables.
    """

    def __init__(
        self,
        name: str,
        arguments: t.Sequence[str],
        folder: pathlib.Path,
        environment: t.Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self._environment = dict(environment or {})
        self.log = folder / f"{name}.log"
        self._arguments = [sys.executable, "-m", *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the last start."""
        assert self._process is not None, f"{self.name} was not started"
        return self._process.pid

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log.open("ab") as log:
            log.write(START_LINE.encode() + b"\n")
            log.flush()
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    **self._environment,
                },
            )

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running():
            os.kill(self.pid, signal_number)

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM, without waiting for it."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Wait for the process to exit.

        :returns: the exit code, or ``None`` if it was not started or still runs.
        """
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_log(self) -> str:
        """Return the content of the log file."""
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    def wait_for_log(self, text: str, timeout_s: float) -> None:
        """Wait until the process has logged a text.

        :raises WaitTimeoutError: if it has not within ``timeout_s`` seconds or has
            exited before; the message has the end of its log.
        """
        try:
            wait_until(
                lambda: text in self.read_log() or not self.is_running,
                timeout_s,
                f"{self.name} logs {text!r}",
            )
        except WaitTimeoutError as error:
            raise WaitTimeoutError(f"{error}; log: {self._read_log_end()}") from None
        if text not in self.read_log():
            raise WaitTimeoutError(
                f"{self.name} has exited without {text!r}; log: {self._read_log_end()}"
            )

    def _read_log_end(self) -> str:
        return self.read_log()[-LOG_END_CHARS:]


def stop_all(processes: t.Sequence[ManagedProcess]) -> None:
    """Terminate processes, and kill those that do not exit in time."""
    for process in processes:
        process.resume()
        process.terminate()
    for process in processes:
        if process.wait() is None:
            process.kill()
