import { expect } from 'earl';
import { describe, it } from 'node:test';
import { readNotice } from '../../platform/notice-headers.js';

const DAY = 'Thu, 03 Dec 2026';

function restOf(...headers: string[]): unknown {
  return readNotice(503, headers)?.rest ?? null;
}

describe('what answers say of their servers', () => {
  it('hears that a server leaves, in any case of the name, beside a closing connection', () => {
    expect(readNotice(200, ['sErVeR-LeAvInG', ' 1 ', 'Connection', 'close'])?.leaving).toEqual(true);
    expect(readNotice(200, ['Connection', 'close, Server-Leaving', 'Server-Leaving', '1'])?.leaving).toEqual(
      true,
    );
  });

  it('hears it with every status', () => {
    for (const status of [200, 204, 404, 409, 421, 429, 500, 503]) {
      expect(readNotice(status, ['Server-Leaving', '1'])?.leaving).toEqual(true);
    }
  });

  it('takes a header that denies it, and answers without one, for nothing', () => {
    expect(readNotice(200, ['Server-Leaving', '0'])).toEqual(null);
    expect(readNotice(200, ['Server-Leaving', ''])).toEqual(null);
    expect(readNotice(503, [])).toEqual(null);
    expect(readNotice(200, ['Connection', 'close'])).toEqual(null);
  });

  it('reads seconds, whole ones and fractions', () => {
    expect(restOf('Retry-After', '3')).toEqual(3_000);
    expect(restOf('retry-after', ' 0.25 ')).toEqual(250);
  });

  it('reads the date form by the date of the answer, whatever the clock here', () => {
    expect(restOf('Date', `${DAY} 10:00:00 GMT`, 'Retry-After', `${DAY} 10:00:07 GMT`)).toEqual(7_000);
  });

  it('takes a date that is past, and no time at all, for no rest', () => {
    const past = ['Date', `${DAY} 10:00:07 GMT`, 'Retry-After', `${DAY} 10:00:00 GMT`];
    expect(readNotice(503, past)).toEqual(null);
    expect(readNotice(503, ['Retry-After', '0'])).toEqual(null);
  });

  it('keeps a rest without an end in sight as it is', () => {
    expect(restOf('Retry-After', '1000000000')).toEqual(1e12);
    expect(restOf('Retry-After', '1e9')).toEqual(1e12);
  });

  it('takes the longest of several headers, one of which may be malformed', () => {
    expect(restOf('Retry-After', '2', 'Retry-After', '5')).toEqual(5_000);
    expect(restOf('Retry-After', 'soon', 'Retry-After', '5')).toEqual(5_000);
  });

  it('tells a malformed time from none', () => {
    for (const value of ['-1', 'soon', 'NaN', '', '1,5', 'Xyz, nonsense GMT']) {
      expect(restOf('Retry-After', value)).toEqual({ unreadable: value });
    }
  });

  it('leaves a time in answers that are no rejection to the caller', () => {
    expect(readNotice(200, ['Retry-After', '3'])).toEqual(null);
    expect(readNotice(429, ['Retry-After', '3'])).toEqual(null);
  });
});
