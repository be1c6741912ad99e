"""Adapters to platforms.

`boot`, `jobapi`, `store`, `wire` and `workerclient` translate the users' platform;
`log`, `vmlist` and `worker` are clients of the interface that our own stand-ins serve.
"""
