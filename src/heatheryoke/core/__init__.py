"""The decisions: pure reducers over events, with effects as data.

Nothing here opens a socket, reads a clock or draws a random number.
"""
