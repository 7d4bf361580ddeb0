"""The processes of the packet service: sockets, timers, HTTP and the store."""
