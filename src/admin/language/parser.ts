/**
 * The grammar of the query and command language, a `chevrotain` parser. An error names the position in the
 * statement and what was expected there.
 */
import { EmbeddedActionsParser, type IToken, type TokenType } from 'chevrotain';
import { err, ok, type Result } from 'neverthrow';
import { StatementError } from '../../errors.js';
import type { RouteDefinition, ServerSetting, Statement, UnitReference } from './statements.js';
import { Comma, KEYWORDS as K, languageLexer, Name, NumberToken, QuotedText, TOKENS } from './tokens.js';

class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super(TOKENS);
    this.performSelfAnalysis();
  }

  readonly statement = this.RULE('statement', (): Statement => {
    return this.OR([
      { ALT: () => this.SUBRULE(this.showStatement) },
      { ALT: () => this.SUBRULE(this.moveStatement) },
      { ALT: () => this.SUBRULE(this.pinStatement) },
      { ALT: () => this.SUBRULE(this.handOverStatement) },
      { ALT: () => this.SUBRULE(this.recoverStatement) },
      { ALT: () => this.SUBRULE(this.drainStatement) },
      { ALT: () => this.SUBRULE(this.setStatement) },
      { ALT: () => this.SUBRULE(this.removeStatement) },
    ]);
  });

  readonly showStatement = this.RULE('showStatement', (): Statement => {
    this.CONSUME(K.show);
    return this.OR([
      { ALT: () => this.SUBRULE(this.showOwner) },
      { ALT: () => this.SUBRULE(this.showUnits) },
      { ALT: () => this.#keywordStatement(K.moving, { kind: 'showMoving' }, 1) },
      { ALT: () => this.#keywordStatement(K.servers, { kind: 'showServers' }, 2) },
      { ALT: () => this.#keywordStatement(K.shards, { kind: 'showShards' }, 3) },
      { ALT: () => this.#keywordStatement(K.members, { kind: 'showMembers' }, 4) },
      { ALT: () => this.#keywordStatement(K.routes, { kind: 'showRoutes' }, 5) },
      { ALT: () => this.#keywordStatement(K.configuration, { kind: 'showConfiguration' }, 6) },
    ]);
  });

  readonly showOwner = this.RULE('showOwner', (): Statement => {
    this.CONSUME(K.owner);
    this.CONSUME(K.of);
    const reference = this.SUBRULE(this.unitReference);
    this.CONSUME(K.in);
    const group = this.CONSUME(Name).image;
    return { kind: 'showOwner', reference, group };
  });

  readonly showUnits = this.RULE('showUnits', (): Statement => {
    this.CONSUME(K.units);
    this.CONSUME(K.of);
    return { kind: 'showUnits', server: this.CONSUME(Name).image };
  });

  readonly moveStatement = this.RULE('moveStatement', (): Statement => {
    this.CONSUME(K.move);
    const reference = this.SUBRULE(this.unitReference);
    this.CONSUME(K.in);
    const group = this.CONSUME(Name).image;
    this.CONSUME(K.to);
    const target = this.CONSUME2(Name).image;
    return { kind: 'move', reference, group, target };
  });

  readonly pinStatement = this.RULE('pinStatement', (): Statement => {
    this.CONSUME(K.pin);
    this.CONSUME(K.key);
    const key = unquote(this.CONSUME(QuotedText));
    this.CONSUME(K.in);
    const group = this.CONSUME(Name).image;
    this.CONSUME(K.to);
    const target = this.CONSUME2(Name).image;
    return { kind: 'pin', key, group, target };
  });

  readonly handOverStatement = this.RULE('handOverStatement', (): Statement => {
    this.CONSUME(K.hand);
    this.CONSUME(K.over);
    const reference = this.SUBRULE(this.unitReference);
    this.CONSUME(K.in);
    const group = this.CONSUME(Name).image;
    this.CONSUME(K.to);
    this.CONSUME(K.side);
    const side = this.CONSUME2(Name).image;
    return { kind: 'handOver', reference, group, side };
  });

  readonly recoverStatement = this.RULE('recoverStatement', (): Statement => {
    this.CONSUME(K.recover);
    this.CONSUME(K.shard);
    return { kind: 'recover', shard: unquote(this.CONSUME(QuotedText)) };
  });

  readonly drainStatement = this.RULE('drainStatement', (): Statement => {
    const draining = this.OR([
      { ALT: () => this.#keywordValue(K.drain, true, 1) },
      { ALT: () => this.#keywordValue(K.undrain, false, 2) },
    ]);
    return { kind: 'drain', server: this.CONSUME(Name).image, draining };
  });

  readonly setStatement = this.RULE('setStatement', (): Statement => {
    this.CONSUME(K.set);
    return this.OR([{ ALT: () => this.SUBRULE(this.setServer) }, { ALT: () => this.SUBRULE(this.setRoute) }]);
  });

  readonly setServer = this.RULE('setServer', (): Statement => {
    const field = this.OR<ServerSetting>([
      { ALT: () => this.#keywordValue(K.weight, 'weight', 1) },
      { ALT: () => this.#keywordValue(K.concurrency, 'concurrency', 2) },
      { ALT: () => this.#keywordValue(K.connections, 'connections', 3) },
    ]);
    this.CONSUME(K.of);
    const server = this.CONSUME(Name).image;
    this.CONSUME(K.to);
    return { kind: 'setServer', server, field, value: Number(this.CONSUME(NumberToken).image) };
  });

  readonly setRoute = this.RULE('setRoute', (): Statement => {
    this.CONSUME(K.route);
    const name = this.CONSUME(Name).image;
    this.CONSUME(K.path);
    const path = unquote(this.CONSUME(QuotedText));
    this.CONSUME(K.methods);
    const methods: string[] = [];
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => methods.push(this.CONSUME2(Name).image.toUpperCase()) });
    this.CONSUME(K.group);
    const group = this.CONSUME3(Name).image;
    const key = this.OPTION(() => this.SUBRULE(this.keySource)) ?? null;
    const repeatable = this.OPTION2(() => this.CONSUME(K.repeatable)) !== undefined;
    const priority = this.OPTION3(() => this.SUBRULE(this.routePriority)) ?? null;
    const timeoutMilliseconds = this.OPTION4(() => this.SUBRULE(this.routeTimeout)) ?? null;
    const route: RouteDefinition = {
      name,
      path,
      methods,
      group,
      key,
      repeatable,
      priority,
      timeoutMilliseconds,
    };
    return { kind: 'setRoute', route };
  });

  readonly keySource = this.RULE('keySource', (): RouteDefinition['key'] => {
    this.CONSUME(K.key);
    const from = this.OR([
      { ALT: () => this.#keywordValue(K.path, 'path', 1) },
      { ALT: () => this.#keywordValue(K.header, 'header', 2) },
      { ALT: () => this.#keywordValue(K.query, 'query', 3) },
    ]);
    return { from, name: unquote(this.CONSUME(QuotedText)) };
  });

  readonly routePriority = this.RULE('routePriority', (): string => {
    this.CONSUME(K.priority);
    return this.CONSUME(Name).image;
  });

  readonly routeTimeout = this.RULE('routeTimeout', (): number => {
    this.CONSUME(K.timeout);
    return Number(this.CONSUME(NumberToken).image);
  });

  readonly removeStatement = this.RULE('removeStatement', (): Statement => {
    this.CONSUME(K.remove);
    this.CONSUME(K.route);
    return { kind: 'removeRoute', name: this.CONSUME(Name).image };
  });

  readonly unitReference = this.RULE('unitReference', (): UnitReference => {
    return this.OR<UnitReference>([
      {
        ALT: () => {
          this.CONSUME(K.key);
          return { by: 'key', key: unquote(this.CONSUME(QuotedText)) };
        },
      },
      {
        ALT: () => {
          this.CONSUME(K.unit);
          return { by: 'unit', unit: Number(this.CONSUME(NumberToken).image) };
        },
      },
    ]);
  });

  #keywordStatement(token: TokenType, statement: Statement, occurrence: number): Statement {
    this.consume(occurrence, token);
    return statement;
  }

  #keywordValue<Value>(token: TokenType, value: Value, occurrence: number): Value {
    this.consume(occurrence, token);
    return value;
  }
}

function unquote(token: IToken): string {
  return token.image.slice(1, -1).replaceAll("''", "'");
}

const parser = new StatementParser();

/** Parses one statement. */
export function parseStatement(text: string): Result<Statement, StatementError> {
  const lexed = languageLexer.tokenize(text);
  const lexerError = lexed.errors[0];
  if (lexerError !== undefined) {
    const position = `character ${lexerError.offset + 1}`;
    return err(
      new StatementError('parse statement', position, `unexpected ${text[lexerError.offset] ?? 'end'}`),
    );
  }
  parser.input = lexed.tokens;
  const statement = parser.statement();
  const syntaxError = parser.errors[0];
  if (syntaxError !== undefined) {
    const isAtEnd = Number.isNaN(syntaxError.token.startOffset) || syntaxError.token.image === '';
    const position = isAtEnd ? 'the end' : `character ${syntaxError.token.startOffset + 1}`;
    return err(new StatementError('parse statement', position, toSingleLine(syntaxError.message)));
  }
  return ok(statement);
}

/** Returns the message of the `chevrotain` library as one line, without the arrows around the token. */
function toSingleLine(message: string): string {
  return message.replace(/\s+/g, ' ').replace(/-->\s*(.*?)\s*<--/g, '$1');
}
