"""Makes ``examples`` importable by its tests, as it is by ``python -m``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
