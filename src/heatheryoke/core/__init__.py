"""The decision logic: pure reducers over events that return effects as data.

Nothing here opens a socket, reads a clock or draws a random number.
"""
