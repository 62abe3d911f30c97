"""Translates between this project and the users' platform.

Only this folder knows the platform's names. It decides nothing and keeps no
state; see docs/design/platform.md.
"""
