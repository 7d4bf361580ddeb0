"""Messages, tunnel datagrams and control stubs."""
