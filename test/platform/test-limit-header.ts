import { expect } from 'earl';
import { describe, it } from 'node:test';
import { parseLimit } from '../../platform/limit-header.js';

function parse(...values: string[]): unknown {
  return parseLimit(values.flatMap((value) => ['Server-Limit', value]));
}

describe('rate limit header', () => {
  it('contains a decimal number of requests per second', () => {
    expect(parse('3')).toEqual(3);
    expect(parse('3.2')).toEqual(3.2);
    expect(parse('0.5')).toEqual(0.5);
    expect(parse('.5')).toEqual(0.5);
    expect(parse('4.')).toEqual(4);
    expect(parse(' 7 ')).toEqual(7);
    expect(parse('+7')).toEqual(7);
  });

  it('accepts an exponent', () => {
    expect(parse('1e2')).toEqual(100);
    expect(parse('5E-1')).toEqual(0.5);
  });

  it('accepts zero, which forbids all requests', () => {
    expect(parse('0')).toEqual(0);
    expect(parse('0.0')).toEqual(0);
  });

  it('accepts very large limits', () => {
    expect(parse('1e9')).toEqual(1e9);
  });

  it('returns null for a response without the header', () => {
    expect(parseLimit(['Content-Length', '0', 'Retry-After', '3'])).toEqual(null);
  });

  it('is malformed if the limit is negative', () => {
    expect(parse('-1')).toEqual({ unreadable: '-1' });
  });

  it('is malformed if the limit is not a decimal number', () => {
    expect(parse('NaN')).toEqual({ unreadable: 'NaN' });
    expect(parse('few')).toEqual({ unreadable: 'few' });
    expect(parse('3/s')).toEqual({ unreadable: '3/s' });
    expect(parse('0x10')).toEqual({ unreadable: '0x10' });
  });

  it('is malformed if the limit is infinite', () => {
    expect(parse('Infinity')).toEqual({ unreadable: 'Infinity' });
    expect(parse('1e400')).toEqual({ unreadable: '1e400' });
  });

  it('is malformed if it is empty', () => {
    expect(parse('')).toEqual({ unreadable: '' });
  });

  it('uses the lowest valid limit of several headers or of a list in one header', () => {
    expect(parse('5', '3')).toEqual(3);
    expect(parse('5, 3')).toEqual(3);
    expect(parse('few', '3')).toEqual(3);
  });

  it('is found under a name in any case, with or without the common header prefix', () => {
    expect(parseLimit(['sErVeR-LiMiT', '3'])).toEqual(3);
    expect(parseLimit(['Fennelferry-Server-Limit', '4'])).toEqual(4);
  });
});
