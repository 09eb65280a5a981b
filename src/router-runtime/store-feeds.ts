/** The lists that one daemon follows in the store, reported to the reducer as events. */
import type { ConfirmFeedEffect, FollowEvacuationsEffect, FollowStoreEffect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';
import type { Configuration } from '../router/model/configuration.js';
import type { FeedName } from '../router/model/identifiers.js';
import type { ServerDescription } from '../router/model/server.js';
import type { FeedChange, FeedSources } from '../router/ports.js';
import type { FeedListener, FeedTiming } from './feed-listener.js';
import { ObjectFeed } from './object-feed.js';

type Dispatch = (event: RouterEvent) => void;

/** Reports the outcomes of a feed's calls to the reducer. */
function healthListener(
  feed: FeedName,
  dispatch: Dispatch,
): Pick<FeedListener<unknown>, 'onAnswer' | 'onFailure'> {
  return {
    onAnswer: (answer) => dispatch({ kind: 'feedAnswered', feed, ...answer }),
    onFailure: (failure) => dispatch({ kind: 'feedFailed', feed, ...failure }),
  };
}

function configurationListener(dispatch: Dispatch): FeedListener<Configuration> {
  const dispatchAll = (changes: readonly FeedChange<Configuration>[], revision: number): void => {
    for (const { item } of changes) {
      if (item !== null) {
        dispatch({ kind: 'configuration', configuration: item, revision });
      }
    }
  };
  return { onList: dispatchAll, onChanges: dispatchAll, ...healthListener('configuration', dispatch) };
}

function serverListener(dispatch: Dispatch): FeedListener<ServerDescription> {
  return {
    onList: (items, revision) => {
      const servers = items.map(({ item }) => item).filter((item) => item !== null);
      dispatch({ kind: 'serversListed', servers, revision });
    },
    onChanges: (changes, revision) => {
      const serverChanges = changes.map(({ id, item }) => ({ id, server: item }));
      dispatch({ kind: 'serversChanged', changes: serverChanges, revision });
    },
    ...healthListener('servers', dispatch),
  };
}

function evacuationListener(dispatch: Dispatch): FeedListener<string> {
  return {
    onList: (items, revision) => {
      dispatch({ kind: 'evacuationsListed', zones: items.map(({ id }) => id), revision });
    },
    onChanges: (changes, revision) => {
      const orders = changes.map(({ id, item }) => ({ zone: id, evacuated: item !== null }));
      dispatch({ kind: 'evacuationsChanged', changes: orders, revision });
    },
    ...healthListener('evacuations', dispatch),
  };
}

export class StoreFeeds {
  readonly #configuration: ObjectFeed<Configuration>;
  readonly #servers: ObjectFeed<ServerDescription>;
  readonly #evacuations: ObjectFeed<string>;

  constructor(sources: FeedSources, dispatch: Dispatch, timing: FeedTiming) {
    this.#configuration = new ObjectFeed(sources.configuration, configurationListener(dispatch), timing);
    this.#servers = new ObjectFeed(sources.servers, serverListener(dispatch), timing);
    this.#evacuations = new ObjectFeed(sources.evacuations, evacuationListener(dispatch), timing);
  }

  /** Starts or stops following the configuration and the servers. */
  followStore({ follows, configurationRevision, serversRevision }: FollowStoreEffect): void {
    if (follows) {
      this.#configuration.start(configurationRevision);
      this.#servers.start(serversRevision);
    } else {
      this.#configuration.stop();
      this.#servers.stop();
    }
  }

  /** Starts or stops following the evacuated zones. */
  followEvacuations({ follows, revision }: FollowEvacuationsEffect): void {
    if (follows) {
      this.#evacuations.start(revision);
    } else {
      this.#evacuations.stop();
    }
  }

  /** Lists the contents of a feed again. */
  refresh(feed: FeedName): void {
    this.#feedOf(feed).refresh();
  }

  /** Asks the store at once whether a feed has changed since a revision. */
  confirm({ feed, revision }: ConfirmFeedEffect): void {
    this.#feedOf(feed).confirm(revision);
  }

  /** Closes all feeds. */
  close(): void {
    this.#configuration.close();
    this.#servers.close();
    this.#evacuations.close();
  }

  #feedOf(feed: FeedName): ObjectFeed<unknown> {
    switch (feed) {
      case 'configuration':
        return this.#configuration;
      case 'servers':
        return this.#servers;
      case 'evacuations':
        return this.#evacuations;
    }
  }
}
