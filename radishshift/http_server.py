"""The parts of aiohttp's server that gateway hosts use.

`aiohttp.web` also imports its application framework, static files and more, a fifth of
what a host imports before it can serve.
"""

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

__all__ = ["BaseRequest", "Response", "Server", "StreamResponse"]
