import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import type { Envelope } from '../../src/core/messages.js';
import { decodeEnvelope, encodeEnvelope } from '../../src/wire/codec.js';
import {
  decodeControlReply,
  decodeControlRequest,
  encodeControlReply,
  encodeControlRequest,
} from '../../src/wire/control-codec.js';
import { FrameReader } from '../../src/runtime/peer-transport.js';

const count = fc.integer({ min: 0, max: Number.MAX_SAFE_INTEGER });
const unitEpochs = fc.array(fc.record({ unit: fc.nat(), epoch: count }, { noNullPrototype: true }), {
  maxLength: 4,
});

describe('control codec', () => {
  it('decodes every request to the original', () => {
    const anyRequest = fc.record(
      {
        shard: fc.string(),
        generation: fc.nat({ max: 9 }).map((value) => value + 1),
        term: fc.nat({ max: 9 }).map((value) => value + 1),
        sequence: fc.nat({ max: 9 }).map((value) => value + 1),
        serverIncarnation: count,
        stamp: fc.option(fc.nat().map((value) => value + 1)),
        leaseMilliseconds: fc.constant(1_000),
        grants: unitEpochs,
        revokes: unitEpochs,
        wantInventory: fc.boolean(),
      },
      { noNullPrototype: true },
    );
    fc.assert(
      fc.property(anyRequest, (request) =>
        expect(decodeControlRequest(encodeControlRequest(request))).toEqual(request),
      ),
      { seed: 1 },
    );
  });

  it('distinguishes an empty inventory from a missing one', () => {
    const reply = {
      sequence: 1,
      serverIncarnation: 1,
      clock: 5.9,
      refusal: null,
      lapseCount: 0,
      granted: [],
      staleGrants: [],
      revoked: [],
      draining: false,
    };
    expect(decodeControlReply(encodeControlReply({ ...reply, inventory: [] })).inventory).toEqual([]);
    const withoutInventory = decodeControlReply(encodeControlReply({ ...reply, inventory: null }));
    expect(withoutInventory).toEqual({ ...reply, inventory: null, clock: 5 });
  });
});

describe('envelope codec', () => {
  it('decodes an envelope to the original', () => {
    const scope = { shard: 'g/0', generation: 3, term: 2 };
    const change = {
      holdings: [{ server: 's', units: [1, 70_000], epochs: [1_000_000_001, 2] }],
      moves: [],
      pins: [],
    };
    const envelope: Envelope = {
      sender: 'd1',
      senderIncarnation: 1_796_196_791_514,
      recipientIncarnation: 0,
      message: {
        kind: 'append',
        ...scope,
        round: 1,
        previousIndex: 0,
        previousTerm: 0,
        entries: [{ term: 2, change, replicas: ['a#1'] }],
        commitIndex: 0,
      },
    };
    expect(decodeEnvelope(encodeEnvelope(envelope), 'peer')._unsafeUnwrap()).toEqual(envelope);
  });

  it('returns an error for malformed bytes and never throws', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
        decodeEnvelope(bytes, 'peer');
      }),
      { seed: 2 },
    );
    expect(decodeEnvelope(new Uint8Array([255, 255]), 'peer').isErr()).toEqual(true);
  });

  it('reads frames wherever the stream is split, and rejects a frame that is too long', () => {
    const bytes = Buffer.from([0, 0, 0, 2, 7, 8, 0, 0, 0, 1, 9]);
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const reader = new FrameReader();
      const frames = [
        ...(reader.push(bytes.subarray(0, cut)) ?? []),
        ...(reader.push(bytes.subarray(cut)) ?? []),
      ];
      expect(frames.map((frame) => [...frame])).toEqual([[7, 8], [9]]);
    }
    expect(new FrameReader().push(Buffer.from([255, 0, 0, 0]))).toEqual(null);
  });
});
