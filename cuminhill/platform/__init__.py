"""Adapters to platforms.

`boot`, `front`, `store`, `wire` and `workers` translate the users' platform; `log`,
`vmlist` and `worker` are clients of the interface that our own stand-ins serve.
"""
