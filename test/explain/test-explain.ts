import { expect } from 'earl';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { explainRequest } from '../../src/explain/explain-request.js';
import { parseLogLine, type LogLine } from '../../src/explain/log-line.js';
import { summarizeLosses } from '../../src/explain/loss-summary.js';
import { logPage } from '../../src/explain/log-page.js';

function line(second: number, daemon: string, event: string, fields: object): LogLine {
  const time = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  const parsed = parseLogLine(
    JSON.stringify({ time, uptime_ms: second * 1_000, level: 'info', daemon, event, ...fields }),
  );
  if (parsed === null) {
    throw new Error('the log line is invalid');
  }
  return parsed;
}

const REQUEST = {
  attempt_id: 'a1',
  status: 503,
  reason: 'the key is on its way to i-2',
  route: 'status',
  service: 'racks',
  key: 300,
  configuration: 4,
  ownership: '2.70.0001',
  servers: 55,
  attempts: [],
  milliseconds: 40,
};

const LINES = [
  line(10, 'd1', 'request_refused', REQUEST),
  line(9, 'd2', 'assignment_written', { term: 2, revision: 70, changed: ['racks/256-511 to i-2, fence 9'] }),
  line(9, 'd2', 'assignment_written', { term: 2, revision: 71, changed: ['racks/512-600 to i-3, fence 11'] }),
  line(8, 'd2', 'server_silent', { server: 'i-2', outcome: 'unanswered' }),
  line(8, 'd2', 'server_silent', { server: 'i-7', outcome: 'unanswered' }),
  line(8, 'd3', 'leadership_lost', { term: 1, reason: 'a planned stop' }),
  line(3, 'd3', 'leadership_won', { term: 1 }),
];

describe('explaining a request', () => {
  it('states its outcome, the versions in use, and the events that concern its key and servers', () => {
    const explanation = explainRequest('a1', LINES).join('\n');
    expect(explanation.includes('d1: request_refused with 503 after 40 ms')).toEqual(true);
    expect(explanation.includes('the request was sent to no server')).toEqual(true);
    expect(explanation.includes('ownership 2.70.0001')).toEqual(true);
    expect(explanation.includes('racks/256-511')).toEqual(true);
    expect(explanation.includes('server=i-2')).toEqual(true);
    expect(explanation.includes('leadership_lost')).toEqual(true);
  });

  it('states the current limit of the server that a request was refused for, however long ago the limit was set', () => {
    const reason = 'the limit of the owner i-2#17 leaves no place in time';
    const limit = { server: 'i-2#17', service: 'racks', former: null, limit: 3, source: 'parent', age: 4 };
    const lines = [
      line(1, 'd1', 'server_names_limit', limit),
      line(1, 'd1', 'server_names_limit', { ...limit, server: 'i-9#1', limit: 5 }),
      line(2, 'd1', 'server_names_limit', { ...limit, former: 3, limit: 2.5 }),
      line(40, 'd1', 'request_refused', { ...REQUEST, reason }),
    ];
    const explanation = explainRequest('a1', lines).join('\n');
    expect(explanation.includes('state from earlier events, still in force')).toEqual(true);
    expect(explanation.includes('limit=2.5')).toEqual(true);
    expect(explanation.includes('limit=3')).toEqual(false);
    expect(explanation.includes('limit=5')).toEqual(false);
  });

  it('omits events of other keys, of other servers and from before the look-back time', () => {
    const explanation = explainRequest('a1', LINES).join('\n');
    expect(explanation.includes('racks/512-600')).toEqual(false);
    expect(explanation.includes('i-7')).toEqual(false);
    expect(explanation.includes('leadership_won')).toEqual(false);
  });

  it('returns no lines for an attempt id that no log contains', () => {
    expect(explainRequest('a2', LINES)).toEqual([]);
  });

  it('parses lines with a prefix before the JSON and ignores lines that are no daemon log lines', () => {
    const text = JSON.stringify(LINES[0]);
    expect(parseLogLine(` 10.1 front-1 ${text}`)?.['attempt_id']).toEqual('a1');
    expect(parseLogLine('{"time":"x"}')).toEqual(null);
    expect(parseLogLine('built in 1 s')).toEqual(null);
  });
});

describe('loss summary', () => {
  it('counts by service, outcome and reason without server names, with the first, last and worst second', () => {
    const other = { ...REQUEST, attempt_id: 'a2', reason: 'the key is on its way to i-3' };
    const answered = line(11, 'd1', 'request_answered', { ...REQUEST, attempt_id: 'a3', reason: '' });
    const left = line(12, 'd1', 'caller_left', { ...REQUEST, attempt_id: 'a4', reason: 'gone' });
    const refused = [10, 11, 11].map((second) => line(second, 'd2', 'request_refused', other));
    const summary = summarizeLosses([...LINES, answered, left, ...refused]);
    expect(summary.answered).toEqual(1);
    expect(summary.rows.length).toEqual(2);
    expect(summary.rows[0]).toEqual({
      service: 'racks',
      outcome: 'request_refused',
      reason: 'the key is on its way to *',
      requests: 4,
      firstSecond: 7,
      lastSecond: 8,
      worstSecond: 7,
      inWorstSecond: 2,
    });
  });
});

describe('log events page', () => {
  it('matches the page generated from the catalogue', () => {
    expect(readFileSync('docs/operators/logs.md', 'utf8')).toEqual(logPage());
  });
});

describe('losses of requests for several incarnations of a server', () => {
  it('are counted in one row', () => {
    const lines = ['i-2#17', 'i-2#18', 'i-3'].map((server, index) =>
      line(10 + index, 'd1', 'request_refused', { ...REQUEST, reason: `the owner ${server} is full` }),
    );
    expect(summarizeLosses(lines).rows.map(({ reason, requests }) => [reason, requests])).toEqual([
      ['the owner * is full', 3],
    ]);
  });
});
