"""The daemons: settings, sockets, platform client, store watch, metrics and event loop."""
