"""Measure the marginal costs of requests, hosts, links, teams and files for sizing."""
