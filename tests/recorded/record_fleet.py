"""Record the bytes of fleet and control as written by revision 300e9a1. Must not be run on a later revision.

Run from the root of a worktree of 300e9a1 into which the files of this folder were copied:

    PYTHONHASHSEED=0 PYTHONPATH=.:tests .venv/bin/python -m recorded.record_fleet
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

from recorded import control_samples, fleet_samples, virtual_worlds, wire_forms
from violetdoor.control.frames import FrameCodec, Side
from violetdoor.control.messages import encode
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.state_file import SLOT_BYTES, StateFile

FOLDER = Path(__file__).parent


def control_frames() -> dict[str, list[str]]:
    """Return the bytes of both sides of a connection to a control machine: the nonce, then the frames."""
    client = FrameCodec(MessageAuthenticator(fleet_samples.KEY), Side.CLIENT)
    server = FrameCodec(MessageAuthenticator(fleet_samples.KEY), Side.SERVER)
    client.nonce, server.nonce = fleet_samples.CLIENT_NONCE, fleet_samples.SERVER_NONCE
    assert list(client.feed(server.nonce)) == list(server.feed(client.nonce)) == []
    requests = [encode(request) for request in control_samples.session_requests().values()]
    responses = [encode(response) for response in control_samples.session_responses().values()]
    return {
        "client": [client.nonce.hex(), *(client.encode_frame(body).hex() for body in requests)],
        "server": [server.nonce.hex(), *(server.encode_frame(body).hex() for body in responses)],
    }


def state_file() -> dict[str, Any]:
    """Return the state file after three writes: its length, and its two slots without trailing zeros."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "relay.state"
        file = StateFile(path)
        for offset in range(3):
            file.write(fleet_samples.durable_state(offset))
        file.close()
        data = path.read_bytes()
    slots = data[:SLOT_BYTES], data[SLOT_BYTES:]
    return {"length": len(data), "slots": [slot.rstrip(b"\0").hex() for slot in slots]}


def messages(groups: list[tuple[wire_forms.Samples, wire_forms.Decoder | None]]) -> dict[str, Any]:
    samples = wire_forms.with_decoders(groups)
    return {key: wire_forms.encoded_forms(value, decoder) for key, (value, decoder) in samples.items()}


def main() -> None:
    fleet = {
        "messages": messages(wire_forms.fleet_groups()),
        "frames": wire_forms.fleet_frames(),
        "view digest": fleet_samples.view().digest,
        "state file": state_file(),
    }
    control = {"messages": messages(wire_forms.control_groups()), "frames": control_frames()}
    worlds = {
        "fleet": {str(seed): virtual_worlds.fleet_run(seed) for seed in virtual_worlds.SEEDS},
        "control": {str(seed): virtual_worlds.control_run(seed) for seed in virtual_worlds.SEEDS},
        "hand-over of fleet": virtual_worlds.handed_over_by_fleet(),
        "hand-over of an attachment": virtual_worlds.handed_over_by_attachment(),
    }
    for name, data in (("fleet", fleet), ("control", control), ("worlds", worlds)):
        (FOLDER / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
