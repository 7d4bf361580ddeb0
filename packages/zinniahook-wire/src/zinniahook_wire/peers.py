"""Protobuf encoding of the messages between the agents of a service.

A message is the payload of a tunnel datagram of kind PEER, which authenticates it.
Each message type registers an encoder and a decoder.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError
from zinniahook_core.codes import Code
from zinniahook_core.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimFinished,
    ClaimIntent,
    ClaimRecord,
    ClaimRecords,
    ClaimState,
    FlowAnswer,
    FlowAsk,
    FlowPointers,
    Heartbeat,
    PeerMessage,
    Placed,
)
from zinniahook_core.models import Address, Load

from . import peers_pb2

__all__ = ["decode", "encode"]

Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], PeerMessage]

_encoders_by_type: dict[type, tuple[str, Encoder]] = {}
_decoders_by_field: dict[str, Decoder] = {}


def encode(sender: str, message: PeerMessage) -> bytes:
    """Encode a message of the agent named ``sender``.

    Raises
    ------
    ValueError
        If a number is negative or too large for its field.
    TypeError
        If it isn't a peer message.
    """
    entry = _encoders_by_type.get(type(message))
    if entry is None:
        raise TypeError(f"not a peer message: {type(message).__name__}")
    field, encoder = entry
    envelope = peers_pb2.PeerEnvelope(sender=sender, **{field: encoder(message)})
    return envelope.SerializeToString()


def decode(data: bytes) -> tuple[str, PeerMessage] | Code:
    """Decode a message; never raises, whatever the data.

    Returns
    -------
    (str, PeerMessage) or Code
        The sender's name and the message, or TUNNEL_MALFORMED.
    """
    envelope = peers_pb2.PeerEnvelope()
    try:
        envelope.ParseFromString(data)
    except DecodeError:
        return Code.TUNNEL_MALFORMED
    field = envelope.WhichOneof("message")
    # A later release may send a message that is unknown here. Its field is None.
    decoder = _decoders_by_field.get(field)
    if decoder is None:
        return Code.TUNNEL_MALFORMED
    try:
        return envelope.sender, decoder(getattr(envelope, field))
    except ValueError:
        return Code.TUNNEL_MALFORMED


def _encoder_of(kind: type, field: str) -> Callable[[Encoder], Encoder]:
    def register(encoder: Encoder) -> Encoder:
        _encoders_by_type[kind] = field, encoder
        return encoder

    return register


def _decoder_of(field: str) -> Callable[[Decoder], Decoder]:
    def register(decoder: Decoder) -> Decoder:
        _decoders_by_field[field] = decoder
        return decoder

    return register


@_encoder_of(Heartbeat, "heartbeat")
def _encode_heartbeat(message: Heartbeat) -> peers_pb2.Heartbeat:
    return peers_pb2.Heartbeat(
        incarnation=message.incarnation,
        sequence=message.sequence,
        generation=message.generation,
        load=peers_pb2.Load(**message.load._asdict()),
        leaving=message.leaving,
        revision=message.revision,
    )


@_decoder_of("heartbeat")
def _decode_heartbeat(message: peers_pb2.Heartbeat) -> Heartbeat:
    load = message.load
    return Heartbeat(
        message.incarnation,
        message.sequence,
        message.generation,
        Load(load.slots, load.busy, load.queued, load.flows, load.streams, load.cold),
        message.leaving,
        message.revision,
    )


@_encoder_of(FlowAsk, "flow_ask")
def _encode_flow_ask(message: FlowAsk) -> peers_pb2.FlowAsk:
    return peers_pb2.FlowAsk(number=message.number, flow=message.flow)


@_decoder_of("flow_ask")
def _decode_flow_ask(message: peers_pb2.FlowAsk) -> FlowAsk:
    return FlowAsk(message.number, message.flow)


@_encoder_of(FlowAnswer, "flow_answer")
def _encode_flow_answer(message: FlowAnswer) -> peers_pb2.FlowAnswer:
    return peers_pb2.FlowAnswer(**message._asdict())


@_decoder_of("flow_answer")
def _decode_flow_answer(message: peers_pb2.FlowAnswer) -> FlowAnswer:
    return FlowAnswer(message.number, message.flow, message.owner)


@_encoder_of(FlowPointers, "flow_pointers")
def _encode_flow_pointers(message: FlowPointers) -> peers_pb2.FlowPointers:
    return peers_pb2.FlowPointers(**message._asdict())


@_decoder_of("flow_pointers")
def _decode_flow_pointers(message: peers_pb2.FlowPointers) -> FlowPointers:
    return FlowPointers(message.owner, message.incarnation, tuple(message.flows))


@_encoder_of(Placed, "placed")
def _encode_placed(message: Placed) -> peers_pb2.Placed:
    host, port = message.caller
    return peers_pb2.Placed(flow=message.flow, host=host, port=port)


@_decoder_of("placed")
def _decode_placed(message: peers_pb2.Placed) -> Placed:
    return Placed(message.flow, Address(message.host, message.port))


@_encoder_of(ClaimAsk, "claim_ask")
def _encode_claim_ask(message: ClaimAsk) -> peers_pb2.ClaimAsk:
    return peers_pb2.ClaimAsk(**message._asdict())


@_decoder_of("claim_ask")
def _decode_claim_ask(message: peers_pb2.ClaimAsk) -> ClaimAsk:
    return ClaimAsk(
        message.number,
        message.key,
        ClaimIntent(message.intent),
        message.attempt,
        message.runner,
        message.incarnation,
        message.revision,
    )


@_encoder_of(ClaimAnswer, "claim_answer")
def _encode_claim_answer(message: ClaimAnswer) -> peers_pb2.ClaimAnswer:
    return peers_pb2.ClaimAnswer(**message._asdict())


@_decoder_of("claim_answer")
def _decode_claim_answer(message: peers_pb2.ClaimAnswer) -> ClaimAnswer:
    return ClaimAnswer(
        message.number,
        message.key,
        ClaimState(message.state),
        message.runner,
        message.answer,
        message.retry_after,
        Code(message.code),
        message.incarnation,
        message.losses,
        message.covers,
    )


@_encoder_of(ClaimFinished, "claim_finished")
def _encode_claim_finished(message: ClaimFinished) -> peers_pb2.ClaimFinished:
    return peers_pb2.ClaimFinished(**message._asdict())


@_decoder_of("claim_finished")
def _decode_claim_finished(message: peers_pb2.ClaimFinished) -> ClaimFinished:
    return ClaimFinished(
        message.key,
        message.runner,
        message.incarnation,
        message.started,
        message.answer,
    )


@_encoder_of(ClaimRecords, "claim_records")
def _encode_claim_records(message: ClaimRecords) -> peers_pb2.ClaimRecords:
    return peers_pb2.ClaimRecords(
        sender=message.sender,
        incarnation=message.incarnation,
        number=message.number,
        records=[
            peers_pb2.ClaimRecord(**record._asdict()) for record in message.records
        ],
        acknowledge=message.acknowledge,
        revision=message.revision,
        remembers=message.remembers,
    )


@_decoder_of("claim_records")
def _decode_claim_records(message: peers_pb2.ClaimRecords) -> ClaimRecords:
    return ClaimRecords(
        message.sender,
        message.incarnation,
        message.number,
        tuple(_decode_record(record) for record in message.records),
        message.acknowledge,
        message.revision,
        message.remembers,
    )


def _decode_record(record: peers_pb2.ClaimRecord) -> ClaimRecord:
    return ClaimRecord(
        record.key,
        ClaimState(record.state),
        record.runner,
        record.incarnation,
        record.attempt,
        record.age,
        record.answer,
    )
