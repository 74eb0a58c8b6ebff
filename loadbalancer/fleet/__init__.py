"""What instances of the program know of one another. Off unless `[fleet]` stands in the configuration."""
