"""The processes: settings, sockets, the platform's client, metrics, and the event loop."""
