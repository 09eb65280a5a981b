import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { editConfiguration } from '../../src/admin/configuration-edits.js';
import { parseStatement } from '../../src/admin/language/parser.js';
import { answerQuery } from '../../src/admin/queries.js';
import { parseRoutingConfiguration } from '../../src/core/configuration/routing-configuration.js';
import { CONFIGURATION, DaemonFixture, effectsOfKind } from '../support/daemon-fixture.js';

function errorOf(text: string): string {
  return parseStatement(text)._unsafeUnwrapErr().message;
}

describe('query and command language', () => {
  it('parses each form of statement', () => {
    const forms = [
      "show owner of key 'it''s' in keyed",
      'SHOW OWNER OF unit 3 in keyed',
      'show units of keyed-1',
      'show moving',
      'show servers',
      'show shards',
      'show members',
      'show routes',
      'show configuration',
      'move unit 3 in keyed to keyed-2',
      "move key 'a' in keyed to keyed-2",
      "pin key 'a' in keyed to keyed-2",
      "hand over key 'a' in keyed to side right",
      "recover shard 'keyed/0'",
      'drain keyed-1',
      'undrain keyed-1',
      'set weight of keyed-1 to 2.5',
      'set concurrency of keyed-1 to 4',
      'set connections of keyed-1 to 40',
      "set route r path '/r/:k' methods GET, POST group keyed key path 'k' repeatable priority low timeout 50",
      'remove route r',
    ];
    expect(forms.filter((form) => parseStatement(form).isErr())).toEqual([]);
    expect(parseStatement(forms[0] ?? '')._unsafeUnwrap()).toEqual({
      kind: 'showOwner',
      reference: { by: 'key', key: "it's" },
      group: 'keyed',
    });
  });

  it('reports the position of a syntax error', () => {
    expect(errorOf('show owner of foo').includes('character 15')).toEqual(true);
    expect(errorOf('move unit 3 in keyed').includes('the end')).toEqual(true);
    expect(errorOf('drain %').includes('character 7')).toEqual(true);
  });

  it('never throws, whatever the text', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        parseStatement(text);
      }),
      { seed: 3 },
    );
  });

  it('answers which server owns a key', () => {
    const { state } = new DaemonFixture();
    const reference = { by: 'key', key: 'a' } as const;
    const rows = answerQuery(state, { kind: 'showOwner', group: 'keyed', reference })._unsafeUnwrap();
    expect(rows[0]?.['server']).toEqual('keyed-1');
    const wrong = answerQuery(state, { kind: 'showOwner', group: 'nope', reference })._unsafeUnwrapErr();
    expect(wrong.message.includes('there are: keyed')).toEqual(true);
  });
});

describe('configuration edits', () => {
  it('produce configurations that fit the schema, and fail for an unknown route', () => {
    const text = editConfiguration(CONFIGURATION, {
      kind: 'drain',
      server: 'keyed-1',
      draining: true,
    })._unsafeUnwrap();
    expect(parseRoutingConfiguration(text)._unsafeUnwrap().groups[0]?.servers[0]?.state).toEqual('draining');
    expect(editConfiguration(CONFIGURATION, { kind: 'removeRoute', name: 'nope' }).isErr()).toEqual(true);
  });

  it('are rejected with the schema errors when they do not fit the schema', () => {
    const daemon = new DaemonFixture();
    const text = JSON.stringify({ groups: CONFIGURATION.groups, routes: [{ name: 'x' }] });
    const command = { action: 'configure', expectedVersion: 1, text, operator: 'aina' } as const;
    const [result] = effectsOfKind(
      daemon.dispatch({ kind: 'operatorCommand', commandId: 1, command }),
      'commandResult',
    );
    expect(result?.accepted).toEqual(false);
    expect(result?.detail.includes('routes.0.path: found nothing')).toEqual(true);
  });

  it('report to the operator who loses a write conflict whose change is in force', () => {
    const daemon = new DaemonFixture();
    const command = {
      action: 'configure',
      expectedVersion: 1,
      text: JSON.stringify(CONFIGURATION),
      operator: 'aina',
    } as const;
    const [write] = effectsOfKind(
      daemon.dispatch({ kind: 'operatorCommand', commandId: 1, command }),
      'writeObject',
    );
    const { name = '', writeId = '' } = write ?? {};
    daemon.dispatch({ kind: 'objectWritten', name, writeId, result: 'conflict', version: 0 });
    const read = { version: 2, value: JSON.stringify(CONFIGURATION), writeId: 'bolor@d9#1.1' };
    const [result] = effectsOfKind(
      daemon.dispatch({ kind: 'objectRead', name, result: read }),
      'commandResult',
    );
    expect(result).toEqual({
      kind: 'commandResult',
      commandId: 1,
      accepted: false,
      detail: 'bolor changed it first: now version 2',
    });
  });

  it('are accepted when the store applied the write but its response was lost', () => {
    const daemon = new DaemonFixture();
    const command = {
      action: 'configure',
      expectedVersion: 1,
      text: JSON.stringify(CONFIGURATION),
      operator: 'aina',
    } as const;
    const [write] = effectsOfKind(
      daemon.dispatch({ kind: 'operatorCommand', commandId: 1, command }),
      'writeObject',
    );
    const { name = '', writeId = '', value = '' } = write ?? {};
    daemon.dispatch({ kind: 'objectWritten', name, writeId, result: 'unknown', version: 0 });
    const effects = daemon.dispatch({ kind: 'objectRead', name, result: { version: 2, value, writeId } });
    expect(effectsOfKind(effects, 'commandResult')[0]?.accepted).toEqual(true);
    expect(daemon.state.configuration.version).toEqual(2);
  });
});
