"""Numbers that order the notifications of a feed for its caller.

Load pattern: every host is upgraded in turn, and each agent renews its feeds after its restart. An
upstream numbers the notifications of a renewed feed from the start again, so that the caller takes
them for old ones that were delayed, and drops them until the new numbers exceed the old. Numbers
from the clock keep growing whichever process sends them.
"""

from heatheryoke.core.requests import ActiveRequest

__all__ = ["NUMBER_MODULUS", "next_notification_number"]

# RFC 7641, section 3.4: numbers have 24 bits, and the newer of two is less than half of that ahead.
NUMBER_MODULUS = 2**24
# More than any feed sends in the long run, so that the numbers do not run ahead of the clock.
# They wrap after three days, and RFC 7641 takes any number for new after 128 s.
NUMBERS_PER_S = 64


def next_notification_number(feed: ActiveRequest, unix_s: float) -> int:
    """Return the number of a feed's next notification and record it."""
    number = int(unix_s * NUMBERS_PER_S) % NUMBER_MODULUS
    last = feed.notification_number
    if last is not None and not 0 < (number - last) % NUMBER_MODULUS < NUMBER_MODULUS // 2:
        number = (last + 1) % NUMBER_MODULUS
    feed.notification_number = number
    return number
