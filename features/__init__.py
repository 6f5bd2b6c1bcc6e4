"""Tests: what honeyport promises, and how its parts behave."""
