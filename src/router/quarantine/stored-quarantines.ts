/**
 * Keeps the requests that are quarantined or held back in the store, so that both states survive the loss of all daemons at once.
 * Only the leader reads and writes them: one read per leadership, one write per change. Other suspicions are not stored: they rest on
 * fewer lost copies than it takes to hold a request back.
 */
import * as z from 'zod';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import { FINGERPRINT_HEAD_LENGTH } from '../model/request-fingerprint.js';
import { LEADERSHIP_VALIDITY } from '../ownership/ownership-timing.js';
import type { RouterContext } from '../router-context.js';
import { type CrashRecord, emptyCrashRecord } from './crash-record.js';
import { confirmationTime, mergeCrashRecords } from './quarantine.js';

/** Minimum time between two calls to the store. Refused calls are billed, too. */
const CALL_INTERVAL: Milliseconds = 500;
const FINGERPRINT_SCHEMA = z
  .string()
  .length(2 * FINGERPRINT_HEAD_LENGTH)
  .regex(/^[0-9a-f]+$/);

/** Limit on the stored requests that are held back, which keeps the object small. The last changed ones are stored. */
const MAX_STORED_HELD_BACK = 128;

const quarantinesSchema = z.object({
  quarantines: z.array(z.object({ fingerprint: FINGERPRINT_SCHEMA, servers: z.array(z.string()) })),
  /** Absent in objects of earlier versions. */
  heldBack: z
    .array(
      z.object({
        fingerprint: FINGERPRINT_SCHEMA,
        crashes: z.array(z.object({ server: z.string(), copies: z.array(z.string()) })),
      }),
    )
    .default([]),
});
type QuarantinesRecord = z.infer<typeof quarantinesSchema>;

function currentQuarantines({ state, now }: RouterContext): QuarantinesRecord {
  const { crashTable } = state;
  const quarantines = crashTable
    .quarantines(now)
    .map(({ fingerprint, ended }) => ({ fingerprint, servers: ended.map(({ server }) => server) }));
  const heldBack = crashTable
    .heldBack(confirmationTime(state), now)
    .slice(-MAX_STORED_HELD_BACK)
    .map(({ fingerprint, ended }) => ({
      fingerprint,
      crashes: ended.map(({ server, copies = [] }) => ({ server, copies })),
    }));
  return { quarantines, heldBack };
}

/** Returns the sorted fingerprints alone: further crashes under a stored request are not worth a write. */
function sortedFingerprints({ quarantines, heldBack }: QuarantinesRecord): string {
  return [
    ...quarantines.map(({ fingerprint }) => `quarantined ${fingerprint}`),
    ...heldBack.map(({ fingerprint }) => `held back ${fingerprint}`),
  ]
    .sort()
    .join();
}

function toCrashRecords({ quarantines, heldBack }: QuarantinesRecord): CrashRecord[] {
  return [
    ...quarantines.map(({ fingerprint, servers }) => ({
      ...emptyCrashRecord(fingerprint),
      ended: servers.map((server) => ({ server, age: 0 })),
      quarantined: true,
    })),
    ...heldBack.map(({ fingerprint, crashes }) => ({
      ...emptyCrashRecord(fingerprint),
      ended: crashes.map((crash) => ({ ...crash, age: 0 })),
      heldBack: true,
    })),
  ];
}

/** Reads what earlier leaders stored, then writes each change. */
export function tickStoredQuarantines(context: RouterContext): void {
  const { state, now } = context;
  const { leadership, storedQuarantines } = state;
  if (
    leadership === null ||
    now - leadership.confirmedAt > LEADERSHIP_VALIDITY ||
    now < storedQuarantines.nextCallAt
  ) {
    return;
  }
  if (storedQuarantines.term !== leadership.term) {
    storedQuarantines.nextCallAt = now + CALL_INTERVAL;
    storedQuarantines.pendingFingerprints = null;
    context.emit({ kind: 'readObject', object: 'quarantines' });
    return;
  }
  const value = currentQuarantines(context);
  const fingerprints = sortedFingerprints(value);
  if (
    storedQuarantines.pendingFingerprints === null &&
    fingerprints !== storedQuarantines.storedFingerprints
  ) {
    storedQuarantines.nextCallAt = now + CALL_INTERVAL;
    storedQuarantines.pendingFingerprints = fingerprints;
    context.emit({ kind: 'writeObject', object: 'quarantines', value, revision: storedQuarantines.revision });
  }
}

function applyStoredQuarantines(context: RouterContext, value: unknown, revision: number): void {
  const { state } = context;
  const parsed = quarantinesSchema.safeParse(value);
  state.storedQuarantines.revision = revision;
  if (!parsed.success) {
    // The object can't be parsed. The next change overwrites it.
    state.storedQuarantines.storedFingerprints = '';
    state.counters.malformed_store_objects += 1;
    return;
  }
  state.storedQuarantines.storedFingerprints = sortedFingerprints(parsed.data);
  mergeCrashRecords(context, toCrashRecords(parsed.data), 'store');
}

/** Handles the result of the leader's read of the stored quarantines. */
export function receiveQuarantinesRead(context: RouterContext, { outcome }: ObjectReadEvent): void {
  const { leadership, storedQuarantines } = context.state;
  if (leadership === null || outcome.kind === 'failed') {
    return;
  }
  storedQuarantines.term = leadership.term;
  if (outcome.kind === 'found') {
    applyStoredQuarantines(context, outcome.value, outcome.revision);
  } else {
    storedQuarantines.revision = null;
    storedQuarantines.storedFingerprints = '';
  }
}

/** Handles the result of the leader's write of the stored quarantines. */
export function receiveQuarantinesWritten(context: RouterContext, { outcome }: ObjectWrittenEvent): void {
  const { storedQuarantines } = context.state;
  const { pendingFingerprints } = storedQuarantines;
  storedQuarantines.pendingFingerprints = null;
  if (outcome.kind === 'written' && pendingFingerprints !== null) {
    storedQuarantines.revision = outcome.revision;
    storedQuarantines.storedFingerprints = pendingFingerprints;
  } else if (outcome.kind === 'conflict') {
    applyStoredQuarantines(context, outcome.value, outcome.revision);
  } else if (outcome.kind === 'unknown') {
    // The write may have been applied, or may still be applied later: the object is read again before the next write.
    storedQuarantines.term = null;
  }
}
