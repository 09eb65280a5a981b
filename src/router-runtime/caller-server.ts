/** Creates the HTTP servers for callers and for other daemons. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { Socket } from 'node:net';

const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000;
const INITIAL_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const INITIAL_IDLE_TIMEOUT_MILLISECONDS = 15_000;
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';
const HEADER_TIMEOUT = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';
const HEADERS_TOO_LARGE = 'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n';

/** Receives connections and requests. */
export interface CallerServerListener {
  onConnection(socket: Socket): void;
  onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void;
  /** Returns whether the caller would take an answer to malformed bytes for the answer to them. */
  mayAnswerMalformed(socket: Socket): boolean;
  /** Closes a connection on which an answer may be being sent. */
  closeConnection(socket: Socket): void;
}

function answerTo(code: string | undefined): string {
  switch (code) {
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return HEADER_TIMEOUT;
    case 'HPE_HEADER_OVERFLOW':
      return HEADERS_TOO_LARGE;
    default:
      return BAD_REQUEST;
  }
}

/** Creates a server with the limits that hold before the first configuration. */
export function createCallerServer(listener: CallerServerListener): Server {
  const server = createServer(
    { connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS, noDelay: true },
    (incoming, outgoing) => listener.onRequest(incoming, outgoing),
  );
  server.on('connection', (socket) => listener.onConnection(socket));
  server.on('clientError', (error: NodeJS.ErrnoException, stream: Duplex) => {
    if (!(stream instanceof Socket)) {
      stream.destroy();
    } else if (stream.writable && listener.mayAnswerMalformed(stream)) {
      stream.end(answerTo(error.code), () => stream.destroy());
    } else {
      // Behind an earlier request, the caller would take an answer for that of the request, which may have run.
      listener.closeConnection(stream);
    }
  });
  server.headersTimeout = INITIAL_HEADER_TIMEOUT_MILLISECONDS;
  server.requestTimeout = 0;
  server.keepAliveTimeout = INITIAL_IDLE_TIMEOUT_MILLISECONDS;
  return server;
}
