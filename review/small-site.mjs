/** Routes and upstreams like those of the site indrg-podcast: a service divided by key and two others. */
import { LIMITS } from './deployment.mjs';
import { Upstream } from './upstream.mjs';

const HOST = 'podcast.example';
const ZONES = ['zona-uno', 'mixco-sala', 'villanueva-sala'];

function route(name, service, routeType, targetLatencyS, timeoutS, priority) {
  const pathPrefix = `/${name}/`;
  return {
    name,
    host: HOST,
    pathPrefix,
    routeType,
    service,
    targetLatencyS,
    timeoutS,
    priority,
    maxAttempts: 2,
  };
}

/** Objectives, deadlines and priorities are those of the site's classes. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    route('listener-reads', 'feed-server', 'safe', 0.3, 0.8, 2),
    route('publish-actions', 'release-desk', 'unsafe', 0.4, 1, 1),
    route('archive-reads', 'archive-store', 'safe', 0.6, 1.5, 2),
  ],
  services: [
    { name: 'feed-server', healthPath: '/health', maxConns: 130, sharded: true, warmS: 3 },
    { name: 'release-desk', healthPath: '/health', maxConns: 130 },
    { name: 'archive-store', healthPath: '/health', maxConns: 130 },
  ],
  limits: LIMITS,
};

/** Returns upstreams of a service, in the zones in turn. */
export function upstreamsOf(service, count, options) {
  return Array.from(
    { length: count },
    (_, index) => new Upstream(`i-${service}-${index + 1}`, service, ZONES[index % ZONES.length], options),
  );
}

/** Returns a request on a route, without its id. */
export function requestOn(name, part) {
  const { routeType, timeoutS } = CONFIGURATION.routes.find((known) => known.name === name);
  const isUnsafe = routeType === 'unsafe';
  return {
    method: isUnsafe ? 'POST' : 'GET',
    path: `/${name}/${part}`,
    host: HOST,
    deadline: timeoutS * 1_000,
    body: isUnsafe ? 'an action' : '',
  };
}
