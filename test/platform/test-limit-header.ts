import { expect } from 'earl';
import { describe, it } from 'node:test';
import { readLimit } from '../../platform/limit-header.js';

function limitOf(...values: string[]): unknown {
  return readLimit(values.flatMap((value) => ['Server-Limit', value]));
}

describe('the limit that an answer names', () => {
  it('is a decimal number of requests a second', () => {
    expect(limitOf('3')).toEqual(3);
    expect(limitOf('3.2')).toEqual(3.2);
    expect(limitOf('0.5')).toEqual(0.5);
    expect(limitOf('.5')).toEqual(0.5);
    expect(limitOf('4.')).toEqual(4);
    expect(limitOf(' 7 ')).toEqual(7);
    expect(limitOf('+7')).toEqual(7);
  });

  it('may have an exponent', () => {
    expect(limitOf('1e2')).toEqual(100);
    expect(limitOf('5E-1')).toEqual(0.5);
  });

  it('may be zero: nobody is to send anything', () => {
    expect(limitOf('0')).toEqual(0);
    expect(limitOf('0.0')).toEqual(0);
  });

  it('may be very high', () => {
    expect(limitOf('1e9')).toEqual(1e9);
  });

  it('is not named by an answer without the header', () => {
    expect(readLimit(['Content-Length', '0', 'Retry-After', '3'])).toEqual(null);
  });

  it('cannot be read when it is negative', () => {
    expect(limitOf('-1')).toEqual({ unreadable: '-1' });
  });

  it('cannot be read when it is no number', () => {
    expect(limitOf('NaN')).toEqual({ unreadable: 'NaN' });
    expect(limitOf('few')).toEqual({ unreadable: 'few' });
    expect(limitOf('3/s')).toEqual({ unreadable: '3/s' });
    expect(limitOf('0x10')).toEqual({ unreadable: '0x10' });
  });

  it('cannot be read when it is without bound', () => {
    expect(limitOf('Infinity')).toEqual({ unreadable: 'Infinity' });
    expect(limitOf('1e400')).toEqual({ unreadable: '1e400' });
  });

  it('cannot be read when it is empty', () => {
    expect(limitOf('')).toEqual({ unreadable: '' });
  });

  it('is the lowest of two headers, and of a list in one', () => {
    expect(limitOf('5', '3')).toEqual(3);
    expect(limitOf('5, 3')).toEqual(3);
    expect(limitOf('few', '3')).toEqual(3);
  });

  it('is read in any case of the name, with and without the prefix of other headers', () => {
    expect(readLimit(['sErVeR-LiMiT', '3'])).toEqual(3);
    expect(readLimit(['Fennelferry-Server-Limit', '4'])).toEqual(4);
  });
});
