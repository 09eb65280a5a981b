/**
 * Looks for the head of another answer in a body that ends with its connection. Nothing frames such a body: whatever a server sends before it
 * closes the connection would pass for a part of it, also a second answer to this request or to an earlier one.
 */
import { STATUS_CODES } from 'node:http';

/** A status line up to its status, in which each `#` is a digit. */
const STATUS_LINE = 'HTTP/1.# ###';
const STATUS_LINE_START = Buffer.from('HTTP/1.');
/** From this length on, the beginning of a status line is taken for one; text may well end with the name of a protocol. */
const MIN_STATUS_LINE = 'HTTP/1.# '.length;
const STATUS_OFFSET = MIN_STATUS_LINE;
const MAX_PHRASE_LENGTH = 64;
const MAX_NAME_LENGTH = 128;
const MAX_ID_LENGTH = 256;
/** Headers that a second answer may have and the first one not. */
const FRAMING_HEADERS = [
  'connection',
  'content-length',
  'date',
  'keep-alive',
  'trailer',
  'transfer-encoding',
];
const TOKEN_CHARACTER = /[!#$%&'*+.^_`|~\dA-Za-z-]/;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const TAB = 0x09;
const FIRST_DIGIT = 0x30;
const LAST_DIGIT = 0x39;

const IS_TOKEN: readonly boolean[] = Array.from({ length: 256 }, (_, byte) =>
  TOKEN_CHARACTER.test(String.fromCharCode(byte)),
);

/** What the next byte belongs to. */
type Position = 'body' | 'status line' | 'line start' | 'name' | 'value';

/** What tells the heads of answers on a connection from text that looks like a head. */
export interface ConnectionAnswers {
  /** Name of the header in which answers name their request, in lower case. */
  readonly idHeader: string;
  /** Names of the headers of the answer whose body is scanned. */
  readonly headerNames: readonly string[];
  /** Returns whether the connection has carried the request with this id, the current one included. */
  hasCarried(id: string): boolean;
}

function matchesStatusLine(byte: number, index: number): boolean {
  return STATUS_LINE[index] === '#'
    ? byte >= FIRST_DIGIT && byte <= LAST_DIGIT
    : byte === STATUS_LINE.charCodeAt(index);
}

export class SurplusHeadScanner {
  readonly #answers: ConnectionAnswers;
  readonly #knownNames: readonly string[];
  #position: Position = 'body';
  /** Matched characters of `STATUS_LINE`. */
  #matched = 0;
  #offset = 0;
  /** Offset at which the matched beginning of a status line starts. */
  #matchStart = 0;
  /** Offset of the piece that is scanned. */
  #pieceStart = 0;
  /** Whether the matched beginning starts a piece, behind an earlier one. */
  #startsPiece = false;
  /** The status and the text behind it in the status line. */
  #status = '';
  #phrase = '';
  #name = '';
  #value = '';
  /** The head so far could be one of this connection's: its names are known and its lines end as on the wire. */
  #isPlausible = true;
  #previousByte = 0;

  constructor(answers: ConnectionAnswers) {
    this.#answers = answers;
    this.#knownNames = [...answers.headerNames.map((name) => name.toLowerCase()), ...FRAMING_HEADERS];
  }

  /** Scans the next piece. Returns the id of a request of the connection that a head in the body names, or null. */
  scan(piece: Buffer): string | null {
    this.#pieceStart = this.#offset;
    let index = 0;
    while (index < piece.length) {
      if (this.#position === 'body' && this.#matched === 0) {
        const skipped = this.#skipBody(piece, index);
        this.#offset += skipped - index;
        index = skipped;
        if (index === piece.length) {
          break;
        }
      }
      const id = this.#take(piece[index] as number);
      if (id !== null) {
        return id;
      }
      index += 1;
      this.#offset += 1;
    }
    return null;
  }

  /** Returns whether the body ends within what looks like the head of another answer of its connection. */
  endsWithinHead(): boolean {
    if (this.#endsWithinStatusLine()) {
      return true;
    }
    switch (this.#position) {
      case 'body':
        return false;
      case 'status line':
        return ` ${STATUS_CODES[this.#status] ?? ''}\r`.startsWith(this.#phrase);
      case 'name':
        return this.#isPlausible && this.#knownNames.some((name) => name.startsWith(this.#name));
      default:
        return this.#isPlausible;
    }
  }

  #endsWithinStatusLine(): boolean {
    return this.#matched >= MIN_STATUS_LINE || (this.#matched > 0 && this.#startsPiece);
  }

  /** Returns the index of the next byte that may belong to a status line. */
  #skipBody(piece: Buffer, index: number): number {
    const found = piece.indexOf(STATUS_LINE_START, index);
    return found >= 0 ? found : Math.max(index, piece.length - STATUS_LINE_START.length + 1);
  }

  #take(byte: number): string | null {
    if (this.#matchStatusLine(byte)) {
      this.#position = 'status line';
      this.#phrase = '';
      this.#isPlausible = true;
      this.#previousByte = byte;
      return null;
    }
    const id = this.#position === 'body' ? null : this.#takeOfHead(byte);
    this.#previousByte = byte;
    return id;
  }

  /** Returns whether the byte completes a status line up to its status. */
  #matchStatusLine(byte: number): boolean {
    if (!matchesStatusLine(byte, this.#matched)) {
      this.#matched = 0;
    }
    if (matchesStatusLine(byte, this.#matched)) {
      if (this.#matched === 0) {
        this.#matchStart = this.#offset;
        this.#startsPiece = this.#matchStart === this.#pieceStart && this.#matchStart > 0;
      }
      if (this.#matched === STATUS_OFFSET) {
        this.#status = '';
      }
      if (this.#matched >= STATUS_OFFSET) {
        this.#status += String.fromCharCode(byte);
      }
      this.#matched += 1;
    }
    const isComplete = this.#matched === STATUS_LINE.length;
    if (isComplete) {
      this.#matched = 0;
    }
    return isComplete;
  }

  #takeOfHead(byte: number): string | null {
    if (byte === LINE_FEED) {
      return this.#endLine();
    }
    switch (this.#position) {
      case 'status line':
        if (this.#phrase.length < MAX_PHRASE_LENGTH) {
          this.#phrase += String.fromCharCode(byte);
        }
        break;
      case 'line start':
        this.#startLine(byte);
        break;
      case 'name':
        this.#takeOfName(byte);
        break;
      case 'value':
        if (this.#value.length < MAX_ID_LENGTH) {
          this.#value += String.fromCharCode(byte);
        }
        break;
      default:
        break;
    }
    return null;
  }

  #startLine(byte: number): void {
    this.#name = '';
    this.#value = '';
    if (byte === SPACE || byte === TAB) {
      // A line that continues the one before.
      this.#position = 'value';
    } else if (byte !== CARRIAGE_RETURN) {
      this.#position = 'name';
      this.#takeOfName(byte);
    }
  }

  #takeOfName(byte: number): void {
    if (byte === COLON && this.#name !== '') {
      this.#position = 'value';
      this.#isPlausible &&= this.#knownNames.includes(this.#name);
    } else if (IS_TOKEN[byte] === true && this.#name.length < MAX_NAME_LENGTH) {
      this.#name += String.fromCharCode(byte).toLowerCase();
    } else {
      this.#position = 'body';
    }
  }

  /** Ends a line. Returns the id that it names if the connection has carried it. */
  #endLine(): string | null {
    const ended = this.#position;
    this.#isPlausible &&= this.#previousByte === CARRIAGE_RETURN;
    // A line without a colon is no header, and an empty one ends the head.
    this.#position = ended === 'status line' || ended === 'value' ? 'line start' : 'body';
    if (ended !== 'value' || this.#name !== this.#answers.idHeader) {
      return null;
    }
    const id = this.#value.trim();
    if (this.#answers.hasCarried(id)) {
      return id;
    }
    this.#isPlausible = false;
    return null;
  }
}
