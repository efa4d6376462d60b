"""emulator"""
