"""node"""
