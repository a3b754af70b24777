"""Tenant limits over all nodes: which node counts which part of them, without I/O.

Each limit is divided evenly over some of the nodes, the grantors. A grantor grants its part for a
short time to the node that counts the tenant. It grants the part to another node only once that
time has passed or the former holder has released it. So the parts in use never add up to more than
the limit, whatever the nodes know of each other.
"""
