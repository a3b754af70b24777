"""Bad input from peers and in settings files gives a clear error, never a crash or a hang."""

import dataclasses
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import cbor2
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bramblebeam.settings import SettingsError, load_settings
from bramblebeam.settings.model import NodeSettings
from bramblebeam.wire.codec import Codec, DecodeError
from bramblebeam.wire.frames import FrameReader
from bramblebeam.wire.registry import MESSAGES

CODEC = Codec(MESSAGES)
EXAMPLES = 150
MAXIMUM_PAYLOAD = 1_000

QUICK = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.binary()
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=12,
)
TAGS = st.sampled_from(sorted(MESSAGES))


def decoded_or_refused(data: bytes) -> Any:
    try:
        return CODEC.decode(data)
    except DecodeError as error:
        assert str(error)
        return None


@QUICK
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(data: bytes) -> None:
    message = decoded_or_refused(data)
    assert message is None or type(message) in MESSAGES.values()


@QUICK
@given(TAGS, st.lists(VALUES, max_size=12))
def test_any_fields_are_a_valid_message_or_refused(tag: int, fields: list[Any]) -> None:
    message = decoded_or_refused(cbor2.dumps([tag, *fields]))
    if message is not None:
        assert type(message) is MESSAGES[tag]
        assert repr(CODEC.decode(CODEC.encode(message))) == repr(message)


@QUICK
@given(TAGS, st.data())
def test_a_changed_byte_is_a_message_or_refused(tag: int, data: st.DataObject) -> None:
    defaults = [_plain(value) for value in _field_defaults(MESSAGES[tag])]
    encoded = bytearray(cbor2.dumps([tag, *defaults]))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(st.integers(0, 255))
    decoded_or_refused(bytes(encoded))


def _field_defaults(message: Any) -> list[Any]:
    if not dataclasses.is_dataclass(message):
        return [message._field_defaults.get(name, 0) for name in message._fields]
    return [
        field.default if field.default is not dataclasses.MISSING else 0
        for field in dataclasses.fields(message)
    ]


def _plain(value: Any) -> Any:
    return value if isinstance(value, str | int | float | bytes | bool | None) else 0


@QUICK
@given(st.lists(st.binary(max_size=60), max_size=8))
def test_any_stream_is_cut_into_frames_or_refused(parts: list[bytes]) -> None:
    reader = FrameReader(MAXIMUM_PAYLOAD)
    try:
        for part in parts:
            for frame in reader.feed(part):
                assert len(frame.payload) <= MAXIMUM_PAYLOAD
    except DecodeError as error:
        assert str(error)


@QUICK
@given(st.binary(max_size=200))
def test_any_settings_file_is_settings_or_a_clear_error(content: bytes) -> None:
    with TemporaryDirectory() as directory:
        file = Path(directory) / "node.toml"
        file.write_bytes(content)
        _check(load_settings(file))


SETTING_NAMES = st.sampled_from([*NodeSettings.model_fields, "unknown"])
SETTING_VALUES = VALUES


@QUICK
@given(st.dictionaries(SETTING_NAMES, SETTING_VALUES, max_size=4))
def test_any_values_are_settings_or_a_clear_error(values: dict[str, Any]) -> None:
    _check(load_settings(None, {"node": "n", "zone": "z", "region": "r"} | values))


def _check(loaded: Any) -> None:
    if loaded.is_ok():
        assert isinstance(loaded.ok, NodeSettings)
        return
    assert isinstance(loaded.error, SettingsError)
    assert loaded.error.problems
    assert str(loaded.error)
