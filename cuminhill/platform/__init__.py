"""Adapters to platforms.

`boot`, `jobapi`, `store`, `wire` and `workerclient` adapt the users' platform; `log`,
`vmlist` and `worker` are clients of the interface that the project's own stand-ins
serve.
"""
