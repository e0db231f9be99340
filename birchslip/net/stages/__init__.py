"""The stages of the request pipeline, in order: decode, admit, dispatch, run, call downstream, respond.

Each stage counts its events under a prefix that operators know: `take_in.*` (request decoder), `admit.*`
(admission stage), `send.*` (run dispatcher), `relay.*` (downstream caller) and `book.*` (response recorder).
All times and spans are whole numbers of tenths of a millisecond.
"""
