"""decide"""
