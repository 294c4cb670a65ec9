"""Which routers live, and which of them is home to what."""

from .gossip import MembershipLoop
from .members import Membership

__all__ = ["Membership", "MembershipLoop"]
