/**
 * The network in front of one upstream, as a TCP forwarder. While it is cut, bytes are held up; they are lost if their sender resets the
 * connection (DEPLOY.md, Network), and otherwise arrive when TCP sends them again: 0.2, 0.6, 1.4, 3, 6.2 s after the first time.
 */
import { createConnection, createServer } from 'node:net';
import { setTimeout } from 'node:timers';

const FIRST_RETRANSMISSION_MILLISECONDS = 200;

/** Returns the first time from `healedAt` on at which bytes that were first sent at `sentAt` are sent again. */
function retransmittedAt(sentAt, healedAt) {
  let interval = FIRST_RETRANSMISSION_MILLISECONDS;
  let at = sentAt + interval;
  while (at < healedAt) {
    interval *= 2;
    at += interval;
  }
  return at;
}

export class Link {
  address = '';
  healedAt = Number.NEGATIVE_INFINITY;
  #target;
  #isCut = false;
  #heldDirections = new Set();
  #sockets = new Set();
  /** Connections that were opened during the cut. */
  #opened = new Set();
  #server = createServer({ allowHalfOpen: true }, (caller) => this.#accept(caller));

  constructor(target) {
    this.#target = target;
  }

  async start(port) {
    await new Promise((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${port}`;
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    this.healedAt = Date.now();
    this.#opened.forEach((caller) => caller.resetAndDestroy());
    const held = [...this.#heldDirections];
    this.#heldDirections.clear();
    for (const direction of held) {
      const wait = retransmittedAt(direction.since, this.healedAt) - Date.now();
      setTimeout(() => direction.deliver(), wait);
    }
  }

  #accept(caller) {
    if (this.#isCut) {
      this.#refuse(caller);
      return;
    }
    const [host, port] = this.#target.split(':');
    const upstream = createConnection({ host, port: Number(port), allowHalfOpen: true });
    this.#connect(caller, upstream);
    this.#connect(upstream, caller);
  }

  /** A connection that is opened during a cut comes to nothing. The system accepts it, so that it is silent here, and is reset after the cut. */
  #refuse(caller) {
    this.#sockets.add(caller);
    this.#opened.add(caller);
    caller.on('error', () => undefined);
    caller.on('end', () => caller.end());
    caller.on('close', () => {
      this.#sockets.delete(caller);
      this.#opened.delete(caller);
    });
    caller.resume();
  }

  /** Passes on what one side sends; holds it up from the first bytes that it sends during a cut. */
  #connect(from, to) {
    this.#sockets.add(from);
    const held = [];
    const direction = { since: Number.POSITIVE_INFINITY, isHeld: false, deliver: () => undefined };
    direction.deliver = () => {
      direction.isHeld = false;
      direction.since = Number.POSITIVE_INFINITY;
      held.splice(0).forEach((action) => action());
    };
    const pass = (action) => {
      if (!this.#isCut && !direction.isHeld) {
        action();
        return;
      }
      direction.isHeld = true;
      direction.since = Math.min(direction.since, Date.now());
      this.#heldDirections.add(direction);
      held.push(action);
    };
    from.setNoDelay(true);
    from.on('data', (chunk) => pass(() => to.writable && to.write(chunk)));
    from.on('end', () => pass(() => to.writable && to.end()));
    from.on('error', () => {
      // A reset: what was held up is lost.
      held.length = 0;
      to.destroy();
    });
    from.on('close', () => this.#sockets.delete(from));
  }
}
