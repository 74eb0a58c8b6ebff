"""TLS on either side of our own installations; the platform's run loads none of it."""
