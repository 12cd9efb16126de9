"""Stand-ins for the fabric, the platform, upstreams and callers, for tests, demos and soaks."""
