"""Which routers are alive, and which of them is home to which shard."""

from .gossip import MembershipLoop
from .members import Membership

__all__ = ["Membership", "MembershipLoop"]
