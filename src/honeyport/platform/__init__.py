"""The adapter to the platform that honeyport runs on.

The platform's API, names and formats occur only in this package, which
translates them and leaves all decisions to the other packages.
"""
