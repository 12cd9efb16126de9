"""Benchmarks of speed and memory; each prints one JSON object per line. Not run as tests."""
