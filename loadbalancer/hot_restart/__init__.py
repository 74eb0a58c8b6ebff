"""Hot restart: how an old and a new process find each other, what they share, and which of them may use what."""
