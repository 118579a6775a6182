#!/usr/bin/env bash
# The stand-ins (review/lib) are Python programs that use only the standard library of Python 3.8 or
# later: there is nothing to build. The project itself is built with the command of the deploy file.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
