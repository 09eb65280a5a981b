/** Simulates router daemons, the store and servers in virtual time, with faults. */
import { SeededRandom } from '../../../src/core/random.js';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import { buildServerId, instanceOf } from '../../../src/router/model/server-incarnation.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import type { PeerMessage } from '../../../src/router/peers/messages.js';
import { watchTiming } from '../../../src/router/news/store-watch-timing.js';
import { reduce } from '../../../src/router/reducer.js';
import { StoreFeeds } from '../../../src/router-runtime/store-feeds.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { SimulatedServer, OwnerChecker, CHECKED_KEYS, type CallFaults } from './simulated-server.js';
import { PeerLinks } from './peer-links.js';
import { proxyAddressOf, type RequestEffectHandler, type SimulatedDaemon } from './simulated-daemon.js';
import { SimulatedCalls } from './simulated-calls.js';
import { SimulatedFeed } from './simulated-feed.js';
import { type BootClock, SimulatedMachine, ORDINARY_BOOT_CLOCK } from './simulated-machine.js';
import { SimulatedStore } from './simulated-store.js';
import { startTicks } from './simulated-ticks.js';
import { VirtualClock } from './virtual-clock.js';
import { BOUNDS } from './bounds.js';
import { CONFIGURATION, KEYED_SERVICE } from './simulation-configuration.js';
import type { Address } from '../../../src/router/model/address.js';
import { toAddress } from '../../support/addresses.js';

export { CONFIGURATION, KEYED_SERVICE as SERVICE, type RequestEffectHandler, type SimulatedDaemon };

/** Interval in milliseconds at which a link is checked and, if broken, opened again. */
const LINK_RETRY = 150;
/** Number of the link on which a daemon receives its parent's messages. */
const PARENT_LINK_NUMBER = -1;

export class RouterSimulation {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly store: SimulatedStore;
  /** The links between daemons. */
  readonly links = new PeerLinks(this.clock);
  readonly checker = new OwnerChecker();
  readonly servers: SimulatedServer[] = [];
  readonly daemons: SimulatedDaemon[] = [];
  readonly calls: SimulatedCalls;
  readonly events: string[] = [];
  bootClock: BootClock = ORDINARY_BOOT_CLOCK;
  /** Performs the daemons' effects on requests; null: there are no requests. */
  requests: RequestEffectHandler | null = null;
  readonly configurations: SimulatedFeed<Configuration>;
  readonly serverEntries: SimulatedFeed<ServerDescription>;
  readonly evacuations: SimulatedFeed<string>;
  #evacuated: readonly string[] = [];
  readonly #entries = new Map<string, ServerDescription>();
  #lastIncarnation = 0;
  #nextServer = 0;
  readonly #zones: readonly string[];

  /** @param zones the zones of the daemons, in turn */
  constructor(seed: number, daemonCount = 3, serverCount = 5, zones: readonly string[] = ['z0']) {
    this.#zones = zones;
    this.random = new SeededRandom(seed);
    this.store = new SimulatedStore(this.clock, this.random);
    this.calls = new SimulatedCalls(this.clock, this.random, this.servers, (daemon, life, event) =>
      this.#deliver(daemon, life, event),
    );
    this.configurations = new SimulatedFeed('configuration', this.clock, this.store);
    this.serverEntries = new SimulatedFeed('servers', this.clock, this.store);
    this.evacuations = new SimulatedFeed('evacuations', this.clock, this.store);
    this.configure(CONFIGURATION);
    for (let index = 0; index < serverCount; index += 1) {
      this.addServer(`10.0.1.${index}:80`);
    }
    for (let index = 0; index < daemonCount; index += 1) {
      this.#addDaemon(`d${index}`, toAddress(`10.0.0.${index}:70`));
    }
    startTicks(this.clock, this.daemons, (daemon) => this.deliver(daemon, { kind: 'tick' }));
  }

  /** Adds a server. `listedAfter` delays its entry, and `warmupLeft` is its warm-up then, both in milliseconds. */
  addServer(
    text: string,
    service = KEYED_SERVICE,
    { listedAfter = 0, warmupLeft = 0 }: { listedAfter?: number; warmupLeft?: number } = {},
  ): SimulatedServer {
    this.#nextServer += 1;
    const address = toAddress(text);
    const server = new SimulatedServer(`s${this.#nextServer}`, address, this.clock, this.checker);
    this.servers.push(server);
    const entry = {
      id: server.id,
      service,
      address,
      zone: `z${this.#nextServer % 3}`,
      slots: 2,
      draining: false,
      warmupLeft,
      listedAt: this.#nextServer,
      revision: 0,
    };
    if (listedAfter === 0) {
      this.#writeEntry(entry);
    } else {
      this.clock.schedule(listedAfter, () => this.#writeEntry(entry));
    }
    return server;
  }

  get callFaults(): CallFaults {
    return this.calls.faults;
  }

  /** Writes a server's entry at the store's next revision. */
  #writeEntry(entry: ServerDescription): void {
    const revision = this.store.revision + 1;
    const instance = instanceOf(entry.id);
    this.#entries.set(instance, { ...entry, revision });
    this.serverEntries.put(instance, { ...entry, revision });
  }

  /** Crashes a server and restarts it under its former name, by default at its address; its entry is replaced but never removed. */
  restartServer(server: SimulatedServer, born: number, address = server.address): SimulatedServer {
    const entry = this.#entries.get(instanceOf(server.id));
    if (entry === undefined) {
      throw new Error(`${server.id} is not listed`);
    }
    server.alive = false;
    const id = buildServerId(instanceOf(server.id), born);
    const next = new SimulatedServer(id, address, this.clock, this.checker);
    this.servers.push(next);
    this.#writeEntry({ ...entry, id, address });
    return next;
  }

  /** Writes a new configuration to the store. */
  configure(configuration: Configuration): void {
    this.configurations.put('main', configuration);
  }

  /** Removes a server from the list. */
  removeEntry(id: string): void {
    this.#entries.delete(id);
    this.serverEntries.put(id, null);
  }

  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#writeEntry({ ...entry, draining: true });
    }
  }

  /** Changes the number of slots in a server's entry. */
  changeSlots(id: string, slots: number): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#writeEntry({ ...entry, slots });
    }
  }

  /** Evacuates the given zones and ends the evacuation of all others. */
  evacuate(zones: readonly string[]): void {
    const former = this.#evacuated;
    this.#evacuated = zones;
    zones.filter((zone) => !former.includes(zone)).forEach((zone) => this.evacuations.put(zone, zone));
    former.filter((zone) => !zones.includes(zone)).forEach((zone) => this.evacuations.put(zone, null));
  }

  /** Makes the connections of all waiting watches unresponsive, without a reset. */
  blockWatches(): void {
    [this.configurations, this.serverEntries, this.evacuations].forEach((feed) => feed.blockWatches());
  }

  #addDaemon(name: string, address: Address): void {
    const machine = new SimulatedMachine(this.clock);
    const daemon: SimulatedDaemon = {
      name,
      address,
      state: this.#createState(name, address),
      life: this.#lastIncarnation,
      alive: false,
      peersReachable: true,
      storeReachable: true,
      pausedUntil: 0,
      isTickWaiting: false,
      machine,
      clock: machine.createClock(this.bootClock),
      parentAddress: null,
      feeds: null,
    };
    this.daemons.push(daemon);
    this.startDaemon(daemon);
  }

  #createState(daemon: string, peerAddress: Address): RouterState {
    this.#lastIncarnation += 1;
    const isFirstStart = this.clock.now === 0;
    const proxyAddress = proxyAddressOf(peerAddress);
    const zone = this.#zones[Number(daemon.slice(1)) % this.#zones.length] as string;
    const identity = {
      daemon,
      zone,
      peerAddress,
      proxyAddress,
      life: this.#lastIncarnation,
      isFirstStart,
    };
    return createRouterState(identity, BOUNDS, this.#lastIncarnation);
  }

  startDaemon(daemon: SimulatedDaemon): void {
    daemon.clock = daemon.machine.createClock((now) => this.bootClock(now));
    daemon.state = this.#createState(daemon.name, daemon.address);
    daemon.life = this.#lastIncarnation;
    daemon.alive = true;
    daemon.parentAddress = null;
    daemon.feeds?.close();
    daemon.feeds = this.#createFeeds(daemon, daemon.life);
  }

  #createFeeds(daemon: SimulatedDaemon, life: number): StoreFeeds {
    const isReachable = (): boolean => daemon.storeReachable;
    const sources = {
      configuration: this.configurations.createSource(isReachable),
      servers: this.serverEntries.createSource(isReachable),
      evacuations: this.evacuations.createSource(isReachable),
    };
    return new StoreFeeds(sources, (event) => this.#deliver(daemon, life, event), {
      timers: daemon.machine.createTimers(() => daemon.clock),
      watchTiming: (followsChanges) =>
        watchTiming(daemon.state.bounds, daemon.state.leadership !== null, followsChanges),
      isLoopTimely: () => true,
    });
  }

  /** Suspends a daemon's machine: events for the daemon wait, and its monotonic clock stops. */
  suspend(daemon: SimulatedDaemon, length: number): void {
    if (daemon.pausedUntil > this.clock.now) {
      return;
    }
    const until = this.clock.now + length;
    daemon.pausedUntil = until;
    daemon.machine.suspend(until);
    // After the suspension a timer may fire before data in the sockets is read.
    this.clock.schedule(length, () => this.deliver(daemon, { kind: 'tick' }));
  }

  /** Performs a planned stop: the process continues for a while, ends, and another one starts after it. */
  stopDaemon(daemon: SimulatedDaemon, lingering: number): void {
    const { life } = daemon;
    this.#deliver(daemon, life, { kind: 'stopping' });
    this.clock.schedule(lingering, () => {
      if (daemon.life === life) {
        daemon.alive = false;
        this.clock.schedule(500, () => this.startDaemon(daemon));
      }
    });
  }

  leader(): SimulatedDaemon | undefined {
    const leaders = this.daemons.filter((daemon) => daemon.alive && daemon.state.leadership !== null);
    return leaders.sort(
      (left, right) => right.state.election.leaderRevision - left.state.election.leaderRevision,
    )[0];
  }

  /** Counts a request for each of the keys at every daemon. */
  countKeyRequests(keys: readonly number[]): void {
    for (const daemon of this.daemons) {
      const tally = daemon.state.keyTallies.get(KEYED_SERVICE) ?? new Map<number, number>();
      keys.forEach((key) => tally.set(key, (tally.get(key) ?? 0) + 1));
      daemon.state.keyTallies.set(KEYED_SERVICE, tally);
    }
  }

  #deliver(daemon: SimulatedDaemon, life: number, event: RouterEvent): void {
    if (!daemon.alive || daemon.life !== life) {
      return;
    }
    const wait = Math.max(
      daemon.pausedUntil - this.clock.now,
      daemon.machine.timeUntilTurn(),
      daemon.machine.timeUntilIdle(),
    );
    if (wait > 0) {
      this.clock.schedule(wait, () => this.#deliver(daemon, life, event));
      return;
    }
    daemon.clock.now();
    const suspension = daemon.clock.takeSuspension();
    if (suspension !== null) {
      this.#reduce(daemon, { kind: 'resumed', ...suspension });
    }
    this.#reduce(daemon, event);
  }

  #reduce(daemon: SimulatedDaemon, event: RouterEvent): void {
    const effects = reduce(daemon.state, daemon.clock.now(), event);
    daemon.machine.spendProcessorTime(event, effects);
    effects.forEach((effect) => this.#perform(daemon, effect));
  }

  #perform(daemon: SimulatedDaemon, effect: Effect): void {
    const { life } = daemon;
    const sentAt = daemon.clock.now();
    switch (effect.kind) {
      case 'readObject':
        return this.store.read(effect.object, daemon.storeReachable, (outcome) => {
          this.#deliver(daemon, life, { kind: 'objectRead', object: effect.object, sentAt, outcome });
        });
      case 'writeObject':
        return this.store.write(
          effect.object,
          effect.value,
          effect.revision,
          daemon.storeReachable,
          (outcome) => {
            this.#deliver(daemon, life, { kind: 'objectWritten', object: effect.object, sentAt, outcome });
          },
        );
      case 'control':
        return this.calls.callServer(daemon, effect);
      case 'checkPath':
        return this.calls.checkPath(daemon, effect);
      case 'follow':
        this.#closeLink(daemon, daemon.parentAddress);
        daemon.parentAddress = effect.address;
        this.#checkLink(daemon, life, effect.address, false);
        return;
      case 'followStore':
        return daemon.feeds?.followStore(effect);
      case 'followEvacuations':
        return daemon.feeds?.followEvacuations(effect);
      case 'refreshFeed':
        return daemon.feeds?.refresh(effect.feed);
      case 'confirmFeed':
        return daemon.feeds?.confirm(effect);
      case 'sendToParent': {
        const parent = this.daemons.find((other) => other.address === daemon.parentAddress);
        return parent === undefined
          ? undefined
          : this.#sendMessage(daemon, parent, this.daemons.indexOf(daemon), effect.message);
      }
      case 'sendToChildren':
        for (const child of this.daemons) {
          const chosen = effect.link === null || effect.link === this.daemons.indexOf(child);
          if (chosen && child !== daemon && child.parentAddress === daemon.address) {
            this.#sendMessage(daemon, child, PARENT_LINK_NUMBER, effect.message);
          }
        }
        return;
      case 'log':
        this.events.push(
          `${Math.round(this.clock.now)} ${daemon.name} ${effect.event} ${JSON.stringify(effect.fields)}`,
        );
        return;
      default:
        this.requests?.perform(daemon, effect);
    }
  }

  /** Delivers an event to the current incarnation of a daemon. */
  deliver(daemon: SimulatedDaemon, event: RouterEvent): void {
    this.#deliver(daemon, daemon.life, event);
  }

  /** Tells the parent at an address that a daemon's link has closed. */
  #closeLink(daemon: SimulatedDaemon, address: Address | null): void {
    const parent = this.daemons.find((other) => other.address === address);
    if (parent !== undefined) {
      const { life } = parent;
      const link = this.daemons.indexOf(daemon);
      this.links.send(daemon, parent, () => this.#deliver(parent, life, { kind: 'peerLeft', link }));
    }
  }

  /** Checks a daemon's link to its parent at intervals and notifies the daemon when it opens or closes. */
  #checkLink(daemon: SimulatedDaemon, life: number, address: Address | null, wasOpen: boolean): void {
    if (address === null || daemon.parentAddress !== address || daemon.life !== life) {
      return;
    }
    if (!daemon.alive) {
      this.#closeLink(daemon, address);
      return;
    }
    const parent = this.daemons.find((other) => other.address === address);
    const listens = daemon.peersReachable && parent?.alive === true && parent.peersReachable;
    if (!listens) {
      this.#deliver(daemon, life, { kind: 'parentLinkClosed', address, refused: !wasOpen });
    } else if (!wasOpen) {
      this.#sendToChild(parent, daemon, { kind: 'parentLinkOpened' });
    }
    this.clock.schedule(LINK_RETRY, () => this.#checkLink(daemon, life, address, listens));
  }

  #sendMessage(from: SimulatedDaemon, to: SimulatedDaemon, link: number, message: PeerMessage): void {
    const { life } = to;
    const event = { kind: 'peerMessage', link, message: this.links.replaceMessage(from, message) } as const;
    const isOpen = from.peersReachable && to.peersReachable;
    if (isOpen && link === PARENT_LINK_NUMBER) {
      this.#sendToChild(from, to, event);
    } else if (isOpen) {
      this.links.send(from, to, () => this.#deliver(to, life, event));
    }
  }

  /** Delivers an event to a child. An event that is still on a slow link when the child closes the link is lost. */
  #sendToChild(parent: SimulatedDaemon, child: SimulatedDaemon, event: RouterEvent): void {
    const { life } = child;
    this.links.send(parent, child, () => {
      if (child.parentAddress === parent.address || !this.links.isDelayed(parent, child)) {
        this.#deliver(child, life, event);
      }
    });
  }

  /** Returns the checked keys that no server would serve now. */
  unservedKeys(): number[] {
    return CHECKED_KEYS.filter((key) => !this.servers.some((server) => server.holds(key)));
  }
}
