"""Limits of tenants over all nodes: who counts which part of them, without I/O.

Each limit is divided evenly over some of the nodes, the grantors. A grantor lends its part for a
short time to the node that counts the tenant, and lends it to another one only once that time is
over or the former holder has let go of it. So the parts that are counted by add up to the limit at
most, whatever nodes know of each other.
"""
