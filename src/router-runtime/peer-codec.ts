/** Turns messages between daemons into bytes and back, by the generated protobuf codec. */
import { err, ok, type Result } from 'neverthrow';
import protobuf from 'protobufjs/minimal.js';
import { WireError } from '../errors.js';
import type { PeerMessage } from '../router/peers/messages.js';
import { router } from '../wire/generated/router.js';

// Without the Long type the library reads 64-bit numbers as plain ones.
(protobuf.util as { Long: unknown }).Long = undefined;
protobuf.configure();

const TO_OBJECT = { defaults: true, arrays: true, oneofs: true } as const;

/** The bytes of a message. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return router.Frame.encode({ [message.kind]: message } as router.IFrame).finish();
}

/** The message in some bytes, or an error that names the peer the bytes came from. */
export function decodePeerMessage(bytes: Uint8Array, peer: string): Result<PeerMessage, WireError> {
  try {
    const decoded = router.Frame.decode(bytes);
    const kind = decoded.payload;
    if (kind === undefined) {
      return err(new WireError('decode peer message', peer, 'no payload'));
    }
    const fields = router.Frame.toObject(decoded, TO_OBJECT)[kind] as object;
    return ok({ ...fields, kind } as unknown as PeerMessage);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new WireError('decode peer message', peer, detail));
  }
}
