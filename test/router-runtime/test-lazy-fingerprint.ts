import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LazyFingerprint } from '../../src/router-runtime/lazy-fingerprint.js';
import { FINGERPRINT_HEAD_LENGTH, fingerprintHead } from '../../src/router/model/request-fingerprint.js';

const PARTS = {
  method: 'POST',
  host: 'h.example',
  target: '/a/1',
  credentials: 'Bearer one',
  body: Buffer.from('abc'),
};

describe('the fingerprint of a request', () => {
  it('is the same for the same parts', () => {
    const other = new LazyFingerprint({ ...PARTS, body: Buffer.from('abc') });
    expect(new LazyFingerprint(PARTS).value).toEqual(other.value);
  });

  it('differs when any part of the request differs', () => {
    const changes = [
      { method: 'PUT' },
      { host: 'g.example' },
      { target: '/a/2' },
      { credentials: 'Bearer two' },
      { credentials: null },
      { body: Buffer.from('abd') },
      { body: null },
    ];
    const values = changes.map((change) => new LazyFingerprint({ ...PARTS, ...change }).value);
    expect(new Set([...values, new LazyFingerprint(PARTS).value]).size).toEqual(changes.length + 1);
  });

  it('begins with its head, which does not depend on the contents of the body', () => {
    const fingerprint = new LazyFingerprint(PARTS);
    const other = new LazyFingerprint({ ...PARTS, body: Buffer.from('abd') });
    expect(fingerprint.value.length).toEqual(2 * FINGERPRINT_HEAD_LENGTH);
    expect(fingerprintHead(fingerprint.value)).toEqual(other.head);
  });

  it('consists of hexadecimal digits only and shows no part of the request', () => {
    const { value } = new LazyFingerprint({ ...PARTS, credentials: 'Bearer secret' });
    expect(/^[0-9a-f]+$/.test(value)).toEqual(true);
  });
});
