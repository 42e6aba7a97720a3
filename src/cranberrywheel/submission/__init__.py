"""Submissions from acceptance to completion: their state and the leader's decisions."""
