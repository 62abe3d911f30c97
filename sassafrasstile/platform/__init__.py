"""Adapters between the router and the users' platform.

Only this package uses the platform's names of headers, paths, topics and
fields. It makes no routing decisions and keeps no state of requests or
endpoints; see docs/design/platform.md.
"""
