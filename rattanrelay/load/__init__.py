"""load"""
