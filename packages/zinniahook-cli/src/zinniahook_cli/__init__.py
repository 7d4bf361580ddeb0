"""zinniahook: the operators' query and command language."""
