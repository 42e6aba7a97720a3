"""Small specification of the core protocol, its checks and the history checker."""
