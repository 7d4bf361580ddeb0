"""The decisions of zinniahook, without I/O."""
