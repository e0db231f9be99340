"""What an operator may want to know of a store, and a smaller one made of it; nothing is changed but by
`compact`, and by that only where no program has the store.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from .files import Files, StoreWriteError
from .index import UNKNOWN
from .record_format import FILE, RecordKind, ScanOutcome, encode, pieces
from .recovery import Recovered, recover
from .retention_budget import RetentionBudget

LONGEST = 1 << 30  # a day: no window is known here, and what the records tell is believed


def name_of(folder: Path) -> str:
    """Whose store it is; NotKept where there is none, or several."""
    form = re.compile(r"(.+)-[0-9]{8}\.kept")
    found = {match[1] for path in folder.iterdir() if (match := form.fullmatch(path.name))}
    if len(found) != 1:
        raise StoreWriteError(
            f"{folder}: {'no store' if not found else 'stores of ' + ', '.join(sorted(found))}"
        )
    return found.pop()


def held_by(folder: Path, name: str) -> bool:
    """Whether a program has it just now."""
    files = Files(folder, name)
    try:
        files.hold()
    except StoreWriteError:
        return True
    finally:
        files.close()
    return False


def look(files: Files, now: int) -> tuple[Recovered, RetentionBudget, list[tuple[int, bytes]]]:
    held, doubt = files.read_all()
    ledger = RetentionBudget(1 << 30, 1 << 40, 0)
    made = recover(held, ledger, now, LONGEST, FILE.size, held[-1][0] if held else 0)
    made.doubt = made.doubt or doubt
    return made, ledger, held


def show(folder: Path, now: int) -> dict[str, Any]:
    """Entries, ages, bytes; what is unknown, torn or lost."""
    name = name_of(folder)
    made, ledger, held = look(Files(folder, name), now)
    ends = sorted(until for _, until, _ in made.index.items(now))
    return {
        "name": name,
        "held": held_by(folder, name),
        "files": len(held),
        "bytes": ledger.held,
        "labels": len(ends),
        "unknown": made.unknown,
        "over": made.over,
        "first_end_s": round((ends[0] - now) / 10_000, 1) if ends else None,
        "last_end_s": round((ends[-1] - now) / 10_000, 1) if ends else None,
        "runs": sorted(made.runs)[:20],
        **{found.value: count for found, count in made.found.items()},
        "doubt": made.doubt,
    }


def verify(folder: Path) -> dict[str, Any]:
    """Every record read whole, and where one is that can't be."""
    name = name_of(folder)
    files = Files(folder, name)
    held, doubt = files.read_all()
    troubles = []
    for serial, raw in held:
        for piece in pieces(raw, FILE.size):
            if piece.found is not ScanOutcome.GOOD:
                path = files.path(serial).name
                troubles.append(
                    {"file": path, "at": piece.at, "found": piece.found.value, "bytes": piece.size}
                )
    return {"name": name, "files": len(held), "heads": not doubt, "troubles": troubles}


def compact(folder: Path, now: int) -> dict[str, Any]:
    """What is still in its window, in one new file; the others go once that is flushed."""
    name = name_of(folder)
    files = Files(folder, name)
    files.hold()
    try:
        made, ledger, held = look(files, now)
        if made.doubt:
            raise StoreWriteError(
                f"{folder}: records are lost in it; it is left as it is until a program has read it"
            )
        raws = dict(held)
        files.begin((held[-1][0] if held else 0) + 1)
        live = {label: where for label, _, where in made.index.items(now)}
        begun = {entry.label: entry for entry in made.runs.values()}
        for label, where in live.items():
            if where != UNKNOWN:
                files.append(record(raws[where >> 32], where & 0xFFFFFFFF))
            elif label in begun:
                files.append(encode(begun[label]))
            else:
                files.append(spoilt(raws.values(), label))
        files.flush()
        for serial, _ in held:
            files.drop(serial)
        files.system.flush_folder(folder)
        return {"name": name, "labels": len(live), "bytes_before": ledger.held, "bytes": files.size}
    finally:
        files.close()


def record(raw: bytes, at: int) -> bytes:
    piece = next(pieces(raw, at))
    return raw[at : at + piece.size]


def spoilt(raws: Any, label: bytes) -> bytes:
    """One whose record does not check stays unknown: begun, by a run that nobody can name."""
    for raw in raws:
        for piece in pieces(raw, FILE.size):
            if piece.entry is not None and piece.entry.label == label and piece.found is ScanOutcome.SPOILT:
                entry = piece.entry
                return encode(type(entry)(RecordKind.BEGUN, label, entry.stamp, entry.span, "", bytes(16)))
    return b""
