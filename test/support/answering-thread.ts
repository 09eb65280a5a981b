/** Worker thread with a server that responds while the main thread's event loop is blocked. */
import { createServer, type AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';
import { ANSWERED, type AnsweringThreadData, RECEIVED } from './answering-steps.js';

const { step, answer, sendsOnConnect } = workerData as AnsweringThreadData;

function advance(to: number): void {
  Atomics.store(step, 0, to);
  Atomics.notify(step, 0);
}

const server = createServer((socket) => {
  const respond = (): void => {
    advance(RECEIVED);
    Atomics.wait(step, 0, RECEIVED);
    socket.write(answer, () => advance(ANSWERED));
  };
  socket.on('error', () => undefined);
  if (sendsOnConnect) {
    respond();
  } else {
    socket.once('data', respond);
  }
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
