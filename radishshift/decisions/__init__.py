"""Decisions without input or output; each module names the load it answers.

Instants are passed in and nothing here opens a connection, so that a recorded load
can be replayed under a virtual clock.
"""
