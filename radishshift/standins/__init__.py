"""Test doubles of the engines, services and platform that an entry host uses."""
