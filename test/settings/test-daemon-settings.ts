import { expect } from 'earl';
import { describe, it } from 'node:test';
import { checkSettings, readSettings } from '../../src/settings/daemon-settings.js';

const GOOD = {
  id: 'd-1',
  zone: 'z-1',
  side: 's-1',
  listen: { http: '127.0.0.1:1', admin: '127.0.0.1:2', internal: '127.0.0.1:3' },
  store: 'http://127.0.0.1:4',
};

describe('daemon settings', () => {
  it('fills in default values', () => {
    const settings = checkSettings(GOOD, 'test')._unsafeUnwrap();
    expect(settings.limits.drainMilliseconds).toEqual(10_000);
  });

  it('lists all violations at once, each with its path, the value found and the allowed values', () => {
    const listen = { ...GOOD.listen, http: 'localhost:80' };
    const error = checkSettings({ ...GOOD, id: 'Bad Name', listen, surplus: 1 }, 'test')._unsafeUnwrapErr();
    expect(error.faults.length).toEqual(3);
    expect(error.message.includes('id: found "Bad Name"; allowed: lower-case')).toEqual(true);
    expect(error.message.includes('listen.http: found "localhost:80"; allowed: <ip number>:<port>')).toEqual(
      true,
    );
  });

  it('gives flags precedence over the file', () => {
    const settings = checkSettings(GOOD, 'test', { id: 'd-2', http: '127.0.0.1:9' })._unsafeUnwrap();
    expect([settings.id, settings.listen.http, settings.listen.admin]).toEqual([
      'd-2',
      '127.0.0.1:9',
      '127.0.0.1:2',
    ]);
  });

  it('names the file that cannot be read', () => {
    expect(readSettings('/nowhere.yaml')._unsafeUnwrapErr().peer).toEqual('/nowhere.yaml');
  });
});
