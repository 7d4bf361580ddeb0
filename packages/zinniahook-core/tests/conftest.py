"""Make the fakes in this folder importable by its tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
