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
    throw new Error('the line cannot be read');
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
  it('tells its end, the versions it was decided by, and what concerned its key and servers', () => {
    const story = explainRequest('a1', LINES).join('\n');
    expect(story.includes('d1: request_refused with 503 after 40 ms')).toEqual(true);
    expect(story.includes('it was sent to no server')).toEqual(true);
    expect(story.includes('ownership 2.70.0001')).toEqual(true);
    expect(story.includes('racks/256-511')).toEqual(true);
    expect(story.includes('server=i-2')).toEqual(true);
    expect(story.includes('leadership_lost')).toEqual(true);
  });

  it('names the limit of a server that a request was kept from, however long ago it was named', () => {
    const reason = 'the limit of the owner i-2#17 leaves no place in time';
    const limit = { server: 'i-2#17', service: 'racks', former: null, limit: 3, source: 'parent', age: 4 };
    const lines = [
      line(1, 'd1', 'server_names_limit', limit),
      line(1, 'd1', 'server_names_limit', { ...limit, server: 'i-9#1', limit: 5 }),
      line(2, 'd1', 'server_names_limit', { ...limit, former: 3, limit: 2.5 }),
      line(40, 'd1', 'request_refused', { ...REQUEST, reason }),
    ];
    const story = explainRequest('a1', lines).join('\n');
    expect(story.includes('said before and not taken back')).toEqual(true);
    expect(story.includes('limit=2.5')).toEqual(true);
    expect(story.includes('limit=3')).toEqual(false);
    expect(story.includes('limit=5')).toEqual(false);
  });

  it('leaves out other keys, other servers and what was long ago', () => {
    const story = explainRequest('a1', LINES).join('\n');
    expect(story.includes('racks/512-600')).toEqual(false);
    expect(story.includes('i-7')).toEqual(false);
    expect(story.includes('leadership_won')).toEqual(false);
  });

  it('says nothing of a request that no log names', () => {
    expect(explainRequest('a2', LINES)).toEqual([]);
  });

  it('reads lines with something before them, and passes over what is no line of a daemon', () => {
    const text = JSON.stringify(LINES[0]);
    expect(parseLogLine(` 10.1 front-1 ${text}`)?.['attempt_id']).toEqual('a1');
    expect(parseLogLine('{"time":"x"}')).toEqual(null);
    expect(parseLogLine('built in 1 s')).toEqual(null);
  });
});

describe('the summary of losses', () => {
  it('counts by service, outcome and reason, without names of servers, and says when', () => {
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

describe('the page of log events', () => {
  it('is the one that the catalogue makes', () => {
    expect(readFileSync('docs/operators/logs.md', 'utf8')).toEqual(logPage());
  });
});

describe('losses of requests for several lives of a server', () => {
  it('count together', () => {
    const lines = ['i-2#17', 'i-2#18', 'i-3'].map((server, index) =>
      line(10 + index, 'd1', 'request_refused', { ...REQUEST, reason: `the owner ${server} is full` }),
    );
    expect(summarizeLosses(lines).rows.map(({ reason, requests }) => [reason, requests])).toEqual([
      ['the owner * is full', 3],
    ]);
  });
});
