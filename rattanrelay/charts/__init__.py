"""charts"""
