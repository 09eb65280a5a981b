import { expect } from 'earl';
import { describe, it } from 'node:test';
import { parseConfiguration } from '../../platform/documents.js';

/** What the HTTP client takes as the path of a request. */
const SENDABLE = /^[!-\u00ff]+$/;
const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutS: 1, idleTimeoutS: 1 };

describe('the health path of a service', () => {
  // Probes of another path count as unanswered. No server of the service is ever reached then, and none gets keys.
  for (const healthPath of ['/health check', '/\u0142', '/\ud800', '/a\nb']) {
    it(`is one that can be requested: ${JSON.stringify(healthPath)}`, () => {
      const services = [{ name: 'a', maxConns: 1, sharded: true, healthPath }];
      const spec = { version: 1, routes: [], services, limits };
      const parsed = parseConfiguration({ metadata: { name: 'main', revision: 1, made: 1 }, spec });
      const path = parsed.isOk() ? parsed.value.services.get('a')?.healthPath : undefined;
      expect(path === undefined || SENDABLE.test(path)).toEqual(true);
    });
  }
});
