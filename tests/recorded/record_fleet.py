"""Record the bytes of fleet and control, as revision 300e9a1 writes them. Never to be run on a later revision.

From the root, at 300e9a1 with these files laid over it:

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
    """Both sides of a connection to a control machine: the nonce, then frames."""
    client = FrameCodec(MessageAuthenticator(fleet_samples.KEY), Side.CLIENT)
    server = FrameCodec(MessageAuthenticator(fleet_samples.KEY), Side.SERVER)
    client.nonce, server.nonce = fleet_samples.CLIENT_NONCE, fleet_samples.SERVER_NONCE
    assert list(client.feed(server.nonce)) == list(server.feed(client.nonce)) == []
    asked = [encode(one) for one in control_samples.session_requests().values()]
    answered = [encode(one) for one in control_samples.session_responses().values()]
    return {
        "client": [client.nonce.hex(), *(client.encode_frame(body).hex() for body in asked)],
        "server": [server.nonce.hex(), *(server.encode_frame(body).hex() for body in answered)],
    }


def state_file() -> dict[str, Any]:
    """The file after three writes: its length, and what its two slots hold up to their zeros."""
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
