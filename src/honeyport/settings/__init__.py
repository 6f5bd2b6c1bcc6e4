"""Checked YAML settings, one attrs class for each role."""
