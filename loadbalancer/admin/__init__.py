"""What operators of our own installations see and change: calls as JSON, versioned; pure but for its server."""
