/**
 * Encodes and decodes envelopes with the generated protobuf codec.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Envelope, PeerMessage } from '../core/messages.js';
import { WireError } from '../errors.js';
import protobuf from 'protobufjs/minimal.js';
import { fennelferry } from './generated/messages.js';

// Without the Long type, protobufjs decodes 64-bit integers as plain numbers, which are exact up to 2^53. No field exceeds that.
(protobuf.util as { Long: unknown }).Long = undefined;
protobuf.configure();

const TO_OBJECT_OPTIONS = { defaults: true, arrays: true, oneofs: true } as const;

/** Encodes an envelope. */
export function encodeEnvelope(envelope: Envelope): Uint8Array {
  const { sender, senderIncarnation, recipientIncarnation, message } = envelope;
  const fields = { sender, senderIncarnation, recipientIncarnation, [message.kind]: message };
  return fennelferry.Envelope.encode(fields as fennelferry.IEnvelope).finish();
}

/** Decodes an envelope. The error names the peer that sent the bytes. */
export function decodeEnvelope(bytes: Uint8Array, peer: string): Result<Envelope, WireError> {
  try {
    const decoded = fennelferry.Envelope.decode(bytes);
    const kind = decoded.payload;
    if (kind === undefined) {
      return err(new WireError('decode envelope', peer, 'no payload'));
    }
    const fields = fennelferry.Envelope.toObject(decoded, TO_OBJECT_OPTIONS)[kind] as object;
    const message = { ...fields, kind } as unknown as PeerMessage;
    const { sender, senderIncarnation, recipientIncarnation } = decoded;
    return ok({ sender, senderIncarnation, recipientIncarnation, message });
  } catch (cause) {
    return err(
      new WireError('decode envelope', peer, cause instanceof Error ? cause.message : String(cause)),
    );
  }
}
