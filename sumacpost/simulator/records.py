"""The binary layout of the simulator's protocol; records have the protocol's names.

All numbers are little-endian, without padding between them. A frame consists of a header and
records. A record consists of a header, with its code and the length of its fields, and the fields.
A field named `count` is the number of items that follow the fixed fields.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct


class EventCode(IntEnum):
    """Codes of the records in a batch that the simulator sends."""

    PROVISION = 1000
    STATUS_BACK = 1010
    WITHDRAWN = 1020
    COMPLETED = 1030
    MESSAGE = 1040
    VIEW = 1050
    ACCEPT = 1060
    BEGUN = 1070
    DOWN = 1080
    DEADLINE_HIT = 1090
    LEDGER_REPLY = 1100


class ActionCode(IntEnum):
    """Codes of the records in a reply; only those that the gateway uses."""

    TEST = 1000
    FAIL = 1010
    BUMP = 1020
    DEBUG = 1030
    WAKE_ME = 1050
    DISPATCH = 1070
    UNDO_SEND = 1080
    DENY = 1100
    SHARE = 1120


BATCH_HEADER = Struct("<IdI")  # length, clock in ms, number of records
REPLY_HEADER = Struct("<I")  # length
RECORD_HEADER = Struct("<HI")  # code, length
INSTANCE = Struct("<I")  # first field of every event and action

# Fields of events; the instance is the first field.
# instance, seed, count of bytes of settings
PROVISION = Struct("<IQI")
# instance, form, serial, count of entries
VIEW = Struct("<IBQI")
# address, port, zone, kind, cell, availability, size, up since
VIEW_ENTRY = Struct("<IHHHHBfd")
# instance, call, units, first gateway, spread, class, time left, customer, plan, bits
ACCEPT = Struct("<IQfffBdQHB")
# instance, call, attempt, address, port, time spent
BEGUN = Struct("<IQHIHd")
# instance, call, attempt, address, port, verdict, time spent, over, used, units, count of values
COMPLETED = Struct("<IQHIHBdBHHB")
# instance, call
WITHDRAWN = Struct("<IQ")
# instance, label
DEADLINE_HIT = Struct("<IQ")
# instance, address, port, verdict, time spent, count of values
STATUS_BACK = Struct("<IIHBdB")
# instance, author, count of bytes
MESSAGE = Struct("<IHH")
# instance, name, verdict, time spent, reading
LEDGER_REPLY = Struct("<IQBdf")

REPORT_VALUE_SIZE = Struct("<f").size

# Fields of actions, after the header of the record. SHARE and DEBUG include the header.
DISPATCH_FIELDS = "IQdIH"  # instance, call, timeout, address, port
UNDO_SEND_FIELDS = "IQH"  # instance, call, attempt
DENY_FIELDS = "IQd"  # instance, call, retry after
FAIL_FIELDS = "IQ"  # instance, call
WAKE_ME_FIELDS = "IdQ"  # instance, delay, label
TEST_FIELDS = "IIH"  # instance, address, port
BUMP_FIELDS = "IQfd"  # instance, name, amount, time to live
SHARE = Struct("<HIIIH")  # code, length, instance, receiver, count of bytes
DEBUG = Struct("<HIIH")  # code, length, instance, count of bytes

EVERY_PEER = 0xFFFFFFFF  # receiver in SHARE: all other gateways
RETRY_BIT = 2  # in the bits of ACCEPT: the client has marked the request as a retry
MAX_TEXT_BYTES = 60_000  # maximum length of the text in DEBUG
