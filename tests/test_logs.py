"""Lines of the log as a reader of several processes sees them."""

from cranberrywheel.logs import MAX_WRITE_BYTES, _whole_lines


def test_no_write_ends_within_a_line():
    """Lines of several processes that a collector joins in the middle."""
    lines = ["x" * (index * 7 % 900) for index in range(200)]
    writes = list(_whole_lines(lines))
    assert b"".join(writes) == ("\n".join(lines) + "\n").encode()
    assert all(data.endswith(b"\n") for data in writes)
    assert all(len(data) <= MAX_WRITE_BYTES for data in writes)
