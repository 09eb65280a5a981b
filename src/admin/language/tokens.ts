/**
 * The tokens of the query and command language, for the lexer of the `chevrotain` library.
 */
import { createToken, Lexer, type TokenType } from 'chevrotain';

/** A name such as `rakstatus-03`. */
export const Name = createToken({ name: 'name', pattern: /[a-zA-Z][a-zA-Z0-9-]*/ });
/** A number such as `12` or `0.5`. */
export const NumberToken = createToken({ name: 'number', pattern: /\d+(\.\d+)?/ });
/** A string in single quotes; a quote inside the string is doubled. */
export const QuotedText = createToken({ name: 'text in single quotes', pattern: /'(?:[^']|'')*'/ });
export const Comma = createToken({ name: 'comma', pattern: /,/ });
const Space = createToken({ name: 'space', pattern: /\s+/, group: Lexer.SKIPPED });

function keyword(word: string): TokenType {
  return createToken({ name: word, pattern: new RegExp(word, 'i'), longer_alt: Name });
}

export const KEYWORDS = {
  show: keyword('show'),
  owner: keyword('owner'),
  of: keyword('of'),
  key: keyword('key'),
  unit: keyword('unit'),
  units: keyword('units'),
  in: keyword('in'),
  moving: keyword('moving'),
  servers: keyword('servers'),
  shards: keyword('shards'),
  members: keyword('members'),
  routes: keyword('routes'),
  route: keyword('route'),
  configuration: keyword('configuration'),
  move: keyword('move'),
  to: keyword('to'),
  pin: keyword('pin'),
  hand: keyword('hand'),
  over: keyword('over'),
  side: keyword('side'),
  recover: keyword('recover'),
  shard: keyword('shard'),
  drain: keyword('drain'),
  undrain: keyword('undrain'),
  set: keyword('set'),
  weight: keyword('weight'),
  concurrency: keyword('concurrency'),
  connections: keyword('connections'),
  path: keyword('path'),
  methods: keyword('methods'),
  group: keyword('group'),
  header: keyword('header'),
  query: keyword('query'),
  repeatable: keyword('repeatable'),
  priority: keyword('priority'),
  timeout: keyword('timeout'),
  remove: keyword('remove'),
} as const;

// The lexer takes the first token that matches, so longer keywords come first: `units` before `unit`.
const keywordsByLength = Object.values(KEYWORDS).sort((left, right) => right.name.length - left.name.length);

/** All tokens in the order in which the lexer tries them. */
export const TOKENS: TokenType[] = [Space, ...keywordsByLength, Name, NumberToken, QuotedText, Comma];

export const languageLexer = new Lexer(TOKENS);
