"""Measures of speed and memory; each prints one JSON object a line. Never part of the tests."""
