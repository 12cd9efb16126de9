"""The reducers in virtual time, among small models of what surrounds them, with figures."""
