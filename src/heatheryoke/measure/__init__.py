"""Simulation of the reducers in virtual time with models of their environment, and its figures."""
