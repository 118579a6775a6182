#!/usr/bin/env bash
# The stand-ins (review/lib) are Python programs that use only the standard library of Python 3.11:
# there is nothing to build. The project itself is built with the command of deploy/balancer.toml.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
