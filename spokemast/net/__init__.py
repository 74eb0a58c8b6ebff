"""The proxy's sockets: it measures and obeys, and takes no decision of its own."""
