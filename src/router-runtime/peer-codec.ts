/** Encodes and decodes messages between daemons with the generated protobuf codec. */
import { err, ok, type Result } from 'neverthrow';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import protobuf from 'protobufjs/minimal.js';
import { WireError } from '../errors.js';
import type { Configuration, Service } from '../router/model/configuration.js';
import type { PeerMessage } from '../router/peers/messages.js';
import { router } from '../wire/generated/router.js';
import { checkAddresses, type ItemListener } from './peer-addresses.js';

// Without the Long type the library decodes 64-bit integers as plain numbers.
(protobuf.util as { Long: unknown }).Long = undefined;
protobuf.configure();

const TO_OBJECT_OPTIONS = { defaults: true, arrays: true, oneofs: true } as const;
/** Shorter frames are sent uncompressed: deflating them would cost more time than it saves. */
const MIN_DEFLATED_BYTES = 4_096;
/** A frame that inflates to more than this is rejected as malformed. */
const MAX_INFLATED_BYTES = 16 * 1024 * 1024;
/** Server lists and configurations are so repetitive that the fastest level finds nearly all of the repetition. */
const DEFLATE_LEVEL = 1;

/** Converts a message to its wire form, in which the services of a configuration are a list instead of a map. */
function toWire(message: PeerMessage): object {
  if (message.kind !== 'configurationNews') {
    return message;
  }
  const { configuration, revision } = message;
  return { revision, configuration: { ...configuration, services: [...configuration.services.values()] } };
}

/** A configuration in wire form. */
type WireConfiguration = Omit<Configuration, 'services'> & { readonly services: Service[] };

/** Protobuf leaves out messages that are not set. Returns false for a configuration without the limits on callers. */
function hasCallerLimits(kind: string, fields: object): boolean {
  const { configuration } = fields as { configuration?: Partial<Configuration> | null };
  return kind !== 'configurationNews' || (configuration?.limits ?? null) !== null;
}

function fromWire(kind: string, fields: object): PeerMessage {
  if (kind !== 'configurationNews') {
    return { ...fields, kind } as unknown as PeerMessage;
  }
  const { revision, configuration } = fields as { revision: number; configuration: WireConfiguration };
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return { kind, revision, configuration: { ...configuration, services } };
}

/** Long messages that have been encoded. The same one is often sent to many daemons, such as the ownership to those that join a new leader. */
const encodedMessages = new WeakMap<PeerMessage, Uint8Array>();

/** Returns a message as a protobuf frame, deflated if it is long. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return encodedMessages.get(message) ?? encode(message);
}

function encode(message: PeerMessage): Uint8Array {
  const bytes = router.Frame.encode({ [message.kind]: toWire(message) } as router.IFrame).finish();
  if (bytes.length < MIN_DEFLATED_BYTES) {
    return bytes;
  }
  const frame = router.Frame.encode({ deflated: deflateRawSync(bytes, { level: DEFLATE_LEVEL }) }).finish();
  encodedMessages.set(message, frame);
  return frame;
}

function decodeFrame(bytes: Uint8Array): router.Frame {
  const frame = router.Frame.decode(bytes);
  return frame.payload === 'deflated'
    ? router.Frame.decode(
        inflateRawSync(frame.deflated ?? Buffer.alloc(0), { maxOutputLength: MAX_INFLATED_BYTES }),
      )
    : frame;
}

/**
 * Decodes a frame and checks its addresses. An error names `peer`, the daemon that sent the bytes.
 *
 * @param onMalformedItem receives what is wrong with each item that is left out
 */
export function decodePeerMessage(
  bytes: Uint8Array,
  peer: string,
  onMalformedItem: ItemListener = () => undefined,
): Result<PeerMessage, WireError> {
  return decode(bytes)
    .andThen((message) => checkAddresses(message, onMalformedItem))
    .mapErr((detail) => new WireError('decode peer message', peer, detail));
}

/** Returns the message in a frame, or why there is none. */
function decode(bytes: Uint8Array): Result<PeerMessage, string> {
  try {
    const decoded = decodeFrame(bytes);
    const kind = decoded.payload;
    if (kind === undefined || kind === 'deflated') {
      return err('no payload');
    }
    const fields = router.Frame.toObject(decoded, TO_OBJECT_OPTIONS)[kind] as object;
    return hasCallerLimits(kind, fields) ? ok(fromWire(kind, fields)) : err('a configuration without limits');
  } catch (cause) {
    return err(cause instanceof Error ? cause.message : String(cause));
  }
}
