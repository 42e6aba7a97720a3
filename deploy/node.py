"""Starts ``cranberrywheel-node`` from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from cranberrywheel.programs.node import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
