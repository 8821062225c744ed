"""Pure decision logic without I/O; each module states the load pattern it handles.

The current time is passed in and no module opens a connection, so that recorded load
can be replayed under a virtual clock.
"""
