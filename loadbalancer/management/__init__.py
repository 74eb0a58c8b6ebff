"""The operators' address: calls, what they mean, and the platform's words for them."""
