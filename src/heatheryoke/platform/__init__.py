"""The platform's names, formats and calls, without any balancing logic."""
