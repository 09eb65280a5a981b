/** Worker thread that holds the callers' connections, so that neither the servers nor the checks delay what callers see. */
import { Agent, request, type ClientRequest } from 'node:http';
import { parentPort } from 'node:worker_threads';
import {
  type CallerMessage,
  type CallerRequest,
  type RequestEnding,
  TIMED_OUT_STATUS,
} from './caller-messages.js';
import { now, socketsRead } from './soak-clock.js';

/** Message of the error when a connection is closed before its answer. */
const CLOSED_MESSAGE = 'socket hang up';
const agents = new Map<string, Agent>();

function post(message: CallerMessage): void {
  parentPort?.postMessage(message);
}

function agentOf({ pool, maxConnections }: CallerRequest): Agent | false {
  if (pool === null) {
    return false;
  }
  const agent = agents.get(pool) ?? new Agent({ keepAlive: true, maxSockets: maxConnections });
  agents.set(pool, agent);
  return agent;
}

/** The kernel resets a connection with unread bytes when its process ends, and closes one whose bytes were read. */
function endingOf(error: Error): RequestEnding {
  if (error.message === CLOSED_MESSAGE) {
    return 'closed';
  }
  return error.message.startsWith('connect ') ? 'refused' : 'reset';
}

function send(call: CallerRequest): void {
  const { attemptId, host, port, path, method, headers, localAddress, timeoutMilliseconds } = call;
  const sentAt = now();
  let hasEnded = false;
  const end = (status: number, ending: RequestEnding, body = ''): void => {
    if (!hasEnded) {
      hasEnded = true;
      post({ kind: 'ended', attemptId, sentAt, endedAt: now(), status, body, ending });
    }
  };
  const source = localAddress === null ? {} : { localAddress };
  const endpoint = { host, port, path, method, headers, agent: agentOf(call), ...source };
  const sent = request(endpoint, (answer) => {
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    answer.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      if (answer.complete) {
        end(answer.statusCode ?? 0, 'answered', body);
      } else {
        end(0, 'cutShort', body);
      }
    });
    answer.on('error', () => end(0, 'cutShort'));
  });
  // An answer that arrived while this thread stood still is in time.
  const giveUp = async (): Promise<void> => {
    await socketsRead();
    end(TIMED_OUT_STATUS, 'unanswered');
    sent.destroy();
  };
  sent.setTimeout(timeoutMilliseconds, () => void giveUp());
  // A daemon that does not answer keeps all connections of a pool.
  const waiting = setTimeout(() => {
    end(TIMED_OUT_STATUS, 'refused');
    sent.destroy();
  }, timeoutMilliseconds);
  sent.once('socket', () => clearTimeout(waiting));
  sent.on('error', (error) => end(0, endingOf(error)));
  sent.end(call.body ?? undefined);
  scheduleDisconnection(call, sent);
}

function scheduleDisconnection({ attemptId, disconnect }: CallerRequest, sent: ClientRequest): void {
  if (disconnect === null) {
    return;
  }
  setTimeout(() => {
    if (disconnect.byReset) {
      sent.socket?.resetAndDestroy();
    } else {
      sent.destroy();
    }
    post({ kind: 'disconnected', attemptId, at: now() });
  }, disconnect.afterMilliseconds);
}

parentPort?.on('message', send);
