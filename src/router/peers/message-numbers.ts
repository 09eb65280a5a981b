/**
 * Takes numbers out of messages of other daemons that none would send. They would end up in sums, times, shares and fences, from which they
 * could not be taken out again. An item of a list is dropped by itself; a message is dropped if it says nothing without the number.
 */
import type { PeerMessage } from './messages.js';

/** Numbers that may be negative: priorities, and the order in which entries were added to the store. */
const SIGNED_FIELDS: ReadonlySet<string> = new Set(['priority', 'listedAt']);
/** Numbers of any size, infinity included: a rate, and times for which something is not to be used. */
const UNBOUNDED_FIELDS: ReadonlySet<string> = new Set(['rate', 'left', 'nextPlaceIn', 'wait']);
/** Numbers that daemons divide by. */
const DAEMON_COUNT_FIELD = 'daemons';
/** No deployment has more daemons than this. */
const MAX_DAEMONS = 100_000;
/** Parts of a message that may be missing. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set(['evacuations', 'reach']);
/** Fields whose numbers are checked where they are read (`load-messages.ts`). */
const CHECKED_FIELDS: ReadonlySet<string> = new Set(['serviceLoads']);
/** Lists that say something only as a whole. */
const WHOLE_LISTS: ReadonlySet<string> = new Set(['units']);

function isSoundNumber(value: number, field: string): boolean {
  if (field === DAEMON_COUNT_FIELD) {
    return value >= 1 && value <= MAX_DAEMONS;
  }
  const lowest = SIGNED_FIELDS.has(field) ? -Number.MAX_SAFE_INTEGER : 0;
  const highest = UNBOUNDED_FIELDS.has(field) ? Number.POSITIVE_INFINITY : Number.MAX_SAFE_INTEGER;
  return value >= lowest && value <= highest;
}

function isNumberList(value: readonly unknown[]): boolean {
  return typeof value[0] === 'number';
}

/** Returns whether all numbers in a part of a message are sound. Lists of numbers hold 32-bit integers, which all are. */
function isSound(value: unknown, field: string): boolean {
  if (typeof value === 'number') {
    return isSoundNumber(value, field);
  }
  if (typeof value !== 'object' || value === null) {
    return true;
  }
  if (Array.isArray(value)) {
    return isNumberList(value) || value.every((item) => isSound(item, field));
  }
  const parts = value instanceof Map ? value : Object.entries(value);
  for (const [name, part] of parts) {
    if (!isSound(part, String(name))) {
      return false;
    }
  }
  return true;
}

/** Returns a message without what has numbers that no daemon sends; null: the message is to be dropped. Mostly returns the message itself. */
export function withSoundNumbers<Message extends PeerMessage>(message: Message): Message | null {
  const changes: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(message)) {
    if (CHECKED_FIELDS.has(field) || isSound(value, field)) {
      continue;
    }
    if (OPTIONAL_FIELDS.has(field)) {
      changes[field] = null;
    } else if (Array.isArray(value) && !WHOLE_LISTS.has(field)) {
      changes[field] = value.filter((item) => isSound(item, field));
    } else {
      return null;
    }
  }
  return Object.keys(changes).length === 0 ? message : { ...message, ...changes };
}
