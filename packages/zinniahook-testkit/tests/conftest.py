"""Lets the tests of this folder import the stories beside them."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
