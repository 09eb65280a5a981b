/**
 * One router daemon: connects the reducer to sockets, timers and the platform. Turns what happens there into events, and
 * performs the effects that the reducer returns. Everything runs on one event loop in one thread.
 */
import type { Result } from 'neverthrow';
import { createServer, type Server } from 'node:http';
import { randomInt } from 'node:crypto';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { SettingsError } from '../errors.js';
import type { CheckPathEffect, Effect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';
import type { CallerLimits } from '../router/model/configuration.js';
import type { Milliseconds, ServerId } from '../router/model/identifiers.js';
import type { Platform } from '../router/ports.js';
import { watchTiming } from '../router/news/store-watch-timing.js';
import { maxReadDelay } from '../router/request/request-arrival.js';
import { isSendAllowed } from '../router/request/send-permission.js';
import { reduce } from '../router/reducer.js';
import type { RouterSettings } from '../router/router-settings.js';
import { createRouterState, notReadyReason, type RouterState } from '../router/router-state.js';
import { CallerFrontend } from './caller-frontend.js';
import { failureEvent, performGuarded, runReducer } from './effect-guard.js';
import { EventLog } from './event-log.js';
import { logFatalErrors } from './fatal-errors.js';
import { listen } from './listen.js';
import { checkPath } from './path-checker.js';
import { logLoopDelays } from './loop-log.js';
import { LoopMonitor } from './loop-monitor.js';
import { logMemory } from './memory-log.js';
import { MemoryMonitor } from './memory-monitor.js';
import { MalformedObjects } from './malformed-objects.js';
import { PacedEvent } from './paced-event.js';
import { PlatformCalls } from './platform-calls.js';
import { toRouterBounds } from './settings-bounds.js';
import { PeerLinks } from './peer-links.js';
import { createRouterAdmin } from './router-admin.js';
import { PROCESS_POLL_BARRIER } from '../event-loop/poll-barrier.js';
import { RegularTick, TICK_INTERVAL_MILLISECONDS } from './regular-tick.js';
import { RouterMetrics } from './router-metrics.js';
import { MAX_CONNECTIONS_PER_PROXY, ServerConnections } from './server-connections.js';
import { StoreFeeds } from './store-feeds.js';
import { PROCESS_TIMERS } from './timers.js';
import { registerTransferMetrics } from './transfer-metrics.js';

const MAX_INCARNATION = 2 ** 47;
/** New requests may still arrive for this long after the readiness endpoint has begun to report 503. */
const READINESS_LAG_MILLISECONDS = 2_300;
/** A planned stop stops waiting for requests in flight this long before its grace period (`stopGrace`) ends. */
const STOP_MARGIN_MILLISECONDS = 500;
const STOP_POLL_INTERVAL_MILLISECONDS = 20;
/** A call to the store that times out while the loop is further behind than this may have been answered in time. */
const MAX_TIMELY_LOOP_DELAY_MILLISECONDS = 100;
const OK = 200;
const UNAVAILABLE = 503;

export class RouterDaemon {
  readonly state: RouterState;
  readonly #settings: RouterSettings;
  readonly #platform: Platform;
  readonly #log: EventLog;
  readonly #frontend: CallerFrontend;
  readonly #barrier = PROCESS_POLL_BARRIER;
  readonly #connections = new ServerConnections(this.#barrier);
  readonly #proxyConnections = new ServerConnections(this.#barrier, MAX_CONNECTIONS_PER_PROXY);
  readonly #peers: PeerLinks;
  readonly #readiness: Server;
  readonly #metrics: RouterMetrics;
  readonly #loopMonitor: LoopMonitor;
  readonly #memoryMonitor: MemoryMonitor;
  readonly #admin: Server;
  readonly #feeds: StoreFeeds;
  readonly #tick: RegularTick;
  readonly #malformedObjects: MalformedObjects;
  readonly #calls: PlatformCalls;
  readonly #failedEffects: PacedEvent;
  /** The caller limits that the frontend applies; null before the first configuration. */
  #appliedLimits: CallerLimits | null = null;

  constructor(settings: RouterSettings, platform: Platform) {
    this.#settings = settings;
    this.#platform = platform;
    const { daemon, zone, firstStart, listen: addresses } = settings;
    const incarnation = randomInt(1, MAX_INCARNATION);
    const identity = {
      daemon,
      zone,
      peerAddress: addresses.peers,
      proxyAddress: addresses.proxy,
      life: incarnation,
      isFirstStart: firstStart,
    };
    this.state = createRouterState(identity, toRouterBounds(settings), identity.life);
    this.#log = new EventLog(daemon, this.state.counters);
    this.#failedEffects = new PacedEvent(this.#log, 'effect_failed');
    this.#malformedObjects = new MalformedObjects(this.#log, this.state.counters);
    this.#calls = new PlatformCalls(platform, (event) => this.dispatch(event));
    this.#frontend = new CallerFrontend({
      protocol: platform.protocol,
      memoryMegabytes: settings.limits.memoryMegabytes,
      connections: this.#connections,
      proxyConnections: this.#proxyConnections,
      barrier: this.#barrier,
      dispatch: (event) => this.dispatch(event),
      loop: {
        readDelay: () => this.#loopMonitor.maxUnreadTime(this.#now()),
        isOnTime: () => this.#loopMonitor.isOnTime(this.#now()),
      },
      longestReadDelay: (host, target) => maxReadDelay(this.state, host, target),
      isWriteAllowed: (server) => this.#isWriteAllowed(server),
      onFailure: (effect, reason) => this.#recordFailure(effect, reason),
    });
    const malformedMessages = new PacedEvent(this.#log, 'malformed_peer_message');
    const malformedItems = new PacedEvent(this.#log, 'malformed_peer_item');
    this.#peers = new PeerLinks({
      onMessage: (link, message) => this.dispatch({ kind: 'peerMessage', link, message }),
      onChildClosed: (link) => this.dispatch({ kind: 'peerLeft', link }),
      onParentOpened: () => this.dispatch({ kind: 'parentLinkOpened' }),
      onParentClosed: (address, refused) => this.dispatch({ kind: 'parentLinkClosed', address, refused }),
      onMalformed: (peer, detail) => {
        this.state.counters.malformed_peer_messages += 1;
        malformedMessages.record({ peer, detail });
      },
      onMalformedItem: (peer, detail) => {
        this.state.counters.malformed_peer_items += 1;
        malformedItems.record({ peer, detail });
      },
    });
    this.#readiness = createServer((request, response) => {
      const missingPart = notReadyReason(this.state);
      const isReadinessPath = request.url === platform.protocol.readinessPath;
      response.writeHead(isReadinessPath && missingPart === null ? OK : UNAVAILABLE).end();
    });
    this.#loopMonitor = new LoopMonitor(
      TICK_INTERVAL_MILLISECONDS,
      logLoopDelays(this.#log, (delay) => this.#metrics.observeLoopDelay(delay)),
    );
    this.#memoryMonitor = new MemoryMonitor(
      settings.limits.memoryMegabytes,
      logMemory(this.#log, this.#frontend.transfers, () => this.#frontend.inFlight),
    );
    this.#tick = new RegularTick(
      this.#loopMonitor,
      this.#barrier,
      () => this.#now(),
      () => this.dispatch({ kind: 'tick' }),
    );
    this.#barrier.watch(this.#readiness);
    this.#barrier.setLoopCheck(() => this.#loopMonitor.isOnTime(this.#now()));
    this.#metrics = new RouterMetrics(this.state, this.#loopMonitor.eventHandlingTimes);
    registerTransferMetrics(this.#metrics.registry, this.#frontend.transfers);
    this.#admin = createRouterAdmin(this.state, this.#metrics, (event) => this.dispatch(event));
    this.#feeds = new StoreFeeds(platform.feeds, (event) => this.dispatch(event), {
      timers: PROCESS_TIMERS,
      watchTiming: (followsChanges) =>
        watchTiming(this.state.bounds, this.state.leadership !== null, followsChanges),
      isLoopTimely: () => this.#loopMonitor.maxUnreadTime(this.#now()) <= MAX_TIMELY_LOOP_DELAY_MILLISECONDS,
    });
  }

  /** Opens every port and starts the regular tick. Rejects when a port is in use. */
  async start(): Promise<void> {
    logFatalErrors(this.#log);
    const { http, readiness, admin, peers, proxy } = this.#settings.listen;
    await this.#frontend.listen(http);
    if (proxy !== null) {
      await this.#frontend.listenForDaemons(proxy);
    }
    await this.#peers.listen(peers);
    await listen(this.#readiness, readiness);
    await listen(this.#admin, admin);
    const { daemon, life } = this.state.identity;
    this.#log.event('info', 'started', { daemon, life, http, peers });
    this.#tick.start();
    this.#memoryMonitor.start();
  }

  /** Reads the daemon's clock. Reports a suspension that the clock has detected to the loop monitor and the poll barrier. */
  #now(): Milliseconds {
    const now = PROCESS_CLOCK.now();
    const { suspension } = PROCESS_CLOCK;
    if (suspension !== null) {
      this.#loopMonitor.recordSuspension(suspension.length);
      this.#barrier.recordSuspension();
    }
    return now;
  }

  /** Returns whether a request may be written to a server now; not before a suspension that has just been found is handled. */
  #isWriteAllowed(server: ServerId): boolean {
    const now = this.#now();
    return PROCESS_CLOCK.suspension === null && isSendAllowed(this.state, now, server);
  }

  /** Runs the reducer on one event and performs the resulting effects. */
  dispatch(event: RouterEvent): void {
    const startedAt = performance.now();
    this.#handle(event);
    this.#loopMonitor.recordEvent(event.kind, performance.now() - startedAt);
  }

  #handle(event: RouterEvent): void {
    const now = this.#now();
    const suspension = PROCESS_CLOCK.takeSuspension();
    if (suspension !== null) {
      this.#reduce(now, { kind: 'resumed', ...suspension });
    }
    this.#reduce(now, event);
    const limits = this.state.configuration?.limits;
    if (limits !== undefined && limits !== this.#appliedLimits) {
      this.#appliedLimits = limits;
      this.#frontend.applyLimits(limits);
    }
    if (event.kind === 'tick') {
      this.#frontend.setCloseAfterResponse(this.state.stopping || this.state.isolation.isViewStale);
    }
  }

  #reduce(now: number, event: RouterEvent): void {
    for (const effect of runReducer(() => reduce(this.state, now, event))) {
      performGuarded(
        () => this.#perform(effect),
        (reason) => this.#recordFailure(effect, reason),
      );
    }
  }

  /** Applies settings that were read again, or reports why they are invalid. Listen addresses change only at the next start. */
  applySettings(settings: Result<RouterSettings, SettingsError>): void {
    settings.match(
      (newSettings) =>
        this.dispatch({ kind: 'settingsRead', bounds: toRouterBounds(newSettings), faults: [] }),
      ({ faults }) => this.dispatch({ kind: 'settingsRead', bounds: null, faults }),
    );
  }

  /** Records that an object of the store could not be parsed. */
  recordMalformedObject(kind: string, name: string, problem: string): void {
    this.#malformedObjects.record(kind, name, problem);
  }

  /** Performs a planned stop: accepts no new callers, finishes requests in flight, and ends within the grace period. */
  async stop(): Promise<void> {
    const { stopGrace } = this.#settings.timing;
    const startedAt = PROCESS_CLOCK.now();
    const elapsed = (): number => PROCESS_CLOCK.now() - startedAt;
    this.dispatch({ kind: 'stopping' });
    this.#frontend.setCloseAfterResponse(true);
    const readinessLag = Math.min(READINESS_LAG_MILLISECONDS, stopGrace / 2);
    await new Promise((resolve) => setTimeout(resolve, readinessLag));
    this.#frontend.closeIdle();
    while (this.#frontend.inFlight > 0 && elapsed() < stopGrace - STOP_MARGIN_MILLISECONDS) {
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_INTERVAL_MILLISECONDS));
    }
    this.#tick.stop();
    this.#memoryMonitor.stop();
    this.#feeds.close();
    this.#frontend.closeAll();
    this.#readiness.closeAllConnections();
    this.#readiness.close();
    this.#admin.closeAllConnections();
    this.#admin.close();
    this.#peers.close();
    this.#connections.close();
    this.#proxyConnections.close();
    this.#platform.close();
    this.#log.event('info', 'stopped', {
      milliseconds: Math.round(elapsed()),
      unfinished: this.#frontend.inFlight,
    });
    await this.#log.close();
  }

  /** Reports an effect that could not be performed, after the other effects of its event. */
  #recordFailure(effect: Effect, reason: string): void {
    this.state.counters.effects_failed += 1;
    this.#failedEffects.record({ effect: effect.kind, reason });
    const outcome = failureEvent(effect, reason);
    if (outcome !== null) {
      setImmediate(() => this.dispatch(outcome));
    }
  }

  #perform(effect: Effect): void {
    switch (effect.kind) {
      case 'forward':
        return this.#frontend.attempts.forward(effect);
      case 'forwardToProxy':
        return this.#frontend.attempts.forwardToProxy(effect);
      case 'cancel':
        return this.#frontend.attempts.cancel(effect);
      case 'withdraw':
        return this.#frontend.attempts.withdraw(effect);
      case 'forgetConnections':
        return this.#connections.closeIdle(effect.address);
      case 'answer':
        return this.#frontend.answer(effect);
      case 'requestEnded':
        return this.#metrics.observeRequest(effect);
      case 'log':
        return this.#log.event(effect.level, effect.event, effect.fields);
      case 'control':
        return this.#calls.callServer(effect);
      case 'checkPath':
        return this.#checkPath(effect);
      case 'readObject':
        return this.#calls.readObject(effect);
      case 'writeObject':
        return this.#calls.writeObject(effect);
      case 'refreshFeed':
        return this.#feeds.refresh(effect.feed);
      case 'confirmFeed':
        return this.#feeds.confirm(effect);
      case 'follow':
        return this.#peers.connectToParent(effect.address);
      case 'followStore':
        return this.#feeds.followStore(effect);
      case 'followEvacuations':
        return this.#feeds.followEvacuations(effect);
      case 'sendToParent':
        return this.#peers.sendToParent(effect.message);
      case 'sendToChildren':
        return this.#peers.sendToChildren(effect.link, effect.message);
    }
  }

  #checkPath(effect: CheckPathEffect): void {
    const startedAt = this.#now();
    checkPath(effect, this.#barrier, (failure) => {
      const loopDelay = this.#loopMonitor.longestDelaySince(startedAt, this.#now());
      const { unwrittenBytes, recentlyWrittenBytes } = this.#peers;
      const conditions = { loopDelay, unwrittenBytes, recentlyWrittenBytes };
      this.dispatch({ kind: 'pathChecked', checkId: effect.checkId, failure, ...conditions });
    });
  }
}
