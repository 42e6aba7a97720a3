"""Blocks of log lines as a reader of several processes receives them."""

from cranberrywheel.logs import MAX_WRITE_BYTES, _batch_lines


def test_no_write_ends_within_a_line():
    """A collector of several processes must not receive interleaved parts of lines."""
    lines = ["x" * (index * 7 % 900) for index in range(200)]
    writes = list(_batch_lines(lines))
    assert b"".join(writes) == ("\n".join(lines) + "\n").encode()
    assert all(data.endswith(b"\n") for data in writes)
    assert all(len(data) <= MAX_WRITE_BYTES for data in writes)
