"""Makes ``tools`` and ``examples`` importable by tests, as by ``python -m``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
