"""The management address for operators: its server, its calls, and the platform's names for them."""
