import { expect } from 'earl';
import { describe, it } from 'node:test';
import { parseNotice } from '../../platform/notice-headers.js';

const DAY = 'Thu, 03 Dec 2026';

function parseBackOff(...headers: string[]): unknown {
  return parseNotice(503, headers)?.rest ?? null;
}

describe('server notices in response headers', () => {
  it('announce draining under a name in any case, also when the connection is closed', () => {
    expect(parseNotice(200, ['sErVeR-LeAvInG', ' 1 ', 'Connection', 'close'])?.leaving).toEqual(true);
    expect(parseNotice(200, ['Connection', 'close, Server-Leaving', 'Server-Leaving', '1'])?.leaving).toEqual(
      true,
    );
  });

  it('announce draining with any status', () => {
    for (const status of [200, 204, 404, 409, 421, 429, 500, 503]) {
      expect(parseNotice(status, ['Server-Leaving', '1'])?.leaving).toEqual(true);
    }
  });

  it('do not announce draining if the header denies it or is missing', () => {
    expect(parseNotice(200, ['Server-Leaving', '0'])).toEqual(null);
    expect(parseNotice(200, ['Server-Leaving', ''])).toEqual(null);
    expect(parseNotice(503, [])).toEqual(null);
    expect(parseNotice(200, ['Connection', 'close'])).toEqual(null);
  });

  it('ask for a back-off in whole or fractional seconds', () => {
    expect(parseBackOff('Retry-After', '3')).toEqual(3_000);
    expect(parseBackOff('retry-after', ' 0.25 ')).toEqual(250);
  });

  it('ask for a back-off until a date, measured from the Date header and not from the local clock', () => {
    expect(parseBackOff('Date', `${DAY} 10:00:00 GMT`, 'Retry-After', `${DAY} 10:00:07 GMT`)).toEqual(7_000);
  });

  it('ask for no back-off with a date in the past or with zero seconds', () => {
    const past = ['Date', `${DAY} 10:00:07 GMT`, 'Retry-After', `${DAY} 10:00:00 GMT`];
    expect(parseNotice(503, past)).toEqual(null);
    expect(parseNotice(503, ['Retry-After', '0'])).toEqual(null);
  });

  it('may ask for a very long back-off', () => {
    expect(parseBackOff('Retry-After', '1000000000')).toEqual(1e12);
    expect(parseBackOff('Retry-After', '1e9')).toEqual(1e12);
  });

  it('ask for the longest back-off of several headers, ignoring malformed ones', () => {
    expect(parseBackOff('Retry-After', '2', 'Retry-After', '5')).toEqual(5_000);
    expect(parseBackOff('Retry-After', 'soon', 'Retry-After', '5')).toEqual(5_000);
  });

  it('report a malformed back-off as unreadable', () => {
    for (const value of ['-1', 'soon', 'NaN', '', '1,5', 'Xyz, nonsense GMT']) {
      expect(parseBackOff('Retry-After', value)).toEqual({ unreadable: value });
    }
  });

  it('ask for a back-off only with status 503', () => {
    expect(parseNotice(200, ['Retry-After', '3'])).toEqual(null);
    expect(parseNotice(429, ['Retry-After', '3'])).toEqual(null);
  });
});
