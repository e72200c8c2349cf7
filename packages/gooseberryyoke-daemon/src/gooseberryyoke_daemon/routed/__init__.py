"""
The composition root of processes that serve by a route table, a module for each role.

A process imports the module of its own role only: a start is paid from the time for
recovery, and most of it goes into imports.
"""
