"""HTTP/1.1 by h11 on both sides."""

from .client import HttpClient
from .server import HttpServer
from .server import Responder

__all__ = ["HttpClient", "HttpServer", "Responder"]
