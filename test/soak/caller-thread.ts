/** Worker thread that holds the callers' connections, so that neither the servers nor the checks delay what callers see. */
import { Agent, request, type ClientRequest } from 'node:http';
import { parentPort } from 'node:worker_threads';
import { type CallerMessage, type CallerRequest, TIMED_OUT_STATUS } from './caller-messages.js';
import { now } from './soak-clock.js';

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

function send(call: CallerRequest): void {
  const { attemptId, host, port, path, method, headers, localAddress, timeoutMilliseconds } = call;
  const sentAt = now();
  let hasEnded = false;
  const end = (status: number, body = ''): void => {
    if (!hasEnded) {
      hasEnded = true;
      post({ kind: 'ended', attemptId, sentAt, endedAt: now(), status, body });
    }
  };
  const source = localAddress === null ? {} : { localAddress };
  const endpoint = { host, port, path, method, headers, agent: agentOf(call), ...source };
  const sent = request(endpoint, (answer) => {
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    answer.on('end', () =>
      end(answer.complete ? (answer.statusCode ?? 0) : 0, Buffer.concat(chunks).toString()),
    );
    answer.on('error', () => end(0));
  });
  sent.setTimeout(timeoutMilliseconds, () => {
    end(TIMED_OUT_STATUS);
    sent.destroy();
  });
  sent.on('error', () => end(0));
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
