/** Worker thread that runs the fake store, so that nothing else delays its responses. */
import { parentPort } from 'node:worker_threads';
import { FakeStore } from './fake-store.js';
import { now } from './soak-clock.js';
import type { NumberedCommand, StoreCommand, StoreMessage } from './store-messages.js';

const store = new FakeStore();

function post(message: StoreMessage): void {
  parentPort?.postMessage(message);
}

function perform(command: StoreCommand): unknown {
  switch (command.kind) {
    case 'put':
      return store.put(command.object, command.name, command.spec);
    case 'putBytes':
      return store.putBytes(command.object, command.name, command.bytes);
    case 'remove':
      return store.remove(command.object, command.name);
    case 'read':
      return store.read(command.object, command.name);
    case 'setMode':
      store.mode = command.mode;
      return undefined;
    case 'muteConnections':
      return store.muteConnections();
  }
}

parentPort?.on('message', ({ id, command }: NumberedCommand) => {
  const value = perform(command);
  post({ kind: 'done', id, at: now(), value });
});
post({ kind: 'listening', address: await store.start() });
