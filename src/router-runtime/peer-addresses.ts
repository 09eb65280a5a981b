/**
 * Checks the addresses in messages of peers: a peer of another software version may pass on what this one would not. An item whose address is
 * none is left out of its list; a message whose own address is none is malformed.
 */
import { err, ok, type Result } from 'neverthrow';
import { parseAddress } from '../router/model/address.js';
import type { Heartbeat, PeerMessage, Report, ServerChange, ServerNews } from '../router/peers/messages.js';
import type { ProxyDescription } from '../router/proxying/proxy-candidate.js';

const MAX_NAME_CHARACTERS = 100;

/** Receives what is wrong with an item that is left out. */
export type ItemListener = (detail: string) => void;

/** Returns what is wrong with the address in a field, or null. */
function problemWith(field: string, address: string): string | null {
  return parseAddress(address).match(
    () => null,
    (problem) => `${field}: ${problem}`,
  );
}

/** Returns the message, or what is wrong with its address. */
function checked<Message extends PeerMessage>(
  message: Message,
  field: string,
  address: string,
): Result<Message, string> {
  const problem = problemWith(field, address);
  return problem === null ? ok(message) : err(problem);
}

/** A daemon that takes no requests of others names no address. */
function isSoundProxy({ daemon, address }: ProxyDescription, onMalformedItem: ItemListener): boolean {
  const problem =
    address === '' ? null : problemWith(`proxy ${daemon.slice(0, MAX_NAME_CHARACTERS)}`, address);
  if (problem !== null) {
    onMalformedItem(problem);
  }
  return problem === null;
}

function checkReport(report: Report, onMalformedItem: ItemListener): Result<Report, string> {
  const isSound = (proxy: ProxyDescription): boolean => isSoundProxy(proxy, onMalformedItem);
  const failedRelayProblem =
    report.failedRelay === '' ? null : problemWith('failedRelay', report.failedRelay);
  if (failedRelayProblem !== null) {
    onMalformedItem(failedRelayProblem);
  }
  const soundReport: Report = {
    ...report,
    failedRelay: failedRelayProblem === null ? report.failedRelay : '',
    reach: report.reach !== null && isSound(report.reach) ? report.reach : null,
    proxies: report.proxies.filter(isSound),
  };
  return checked(soundReport, 'address', report.address);
}

function checkHeartbeat(heartbeat: Heartbeat, onMalformedItem: ItemListener): Result<Heartbeat, string> {
  const proxies = heartbeat.proxies.filter((proxy) => isSoundProxy(proxy, onMalformedItem));
  return checked({ ...heartbeat, proxies }, 'leaderAddress', heartbeat.leaderAddress);
}

/** An entry whose address is none describes no server, as in the store: the change is then a removal. */
function checkServerNews(news: ServerNews, onMalformedItem: ItemListener): ServerNews {
  const toSound = (change: ServerChange): ServerChange => {
    const { id, server } = change;
    const problem =
      server === null ? null : problemWith(`server ${id.slice(0, MAX_NAME_CHARACTERS)}`, server.address);
    if (problem === null) {
      return change;
    }
    onMalformedItem(problem);
    return { id, server: null };
  };
  return { ...news, changes: news.changes.map(toSound) };
}

/** Returns the message without the items whose address is none, or what is wrong with its own address. */
export function checkAddresses(
  message: PeerMessage,
  onMalformedItem: ItemListener,
): Result<PeerMessage, string> {
  switch (message.kind) {
    case 'report':
      return checkReport(message, onMalformedItem);
    case 'heartbeat':
      return checkHeartbeat(message, onMalformedItem);
    case 'leaderNotice':
      return checked(message, 'leaderAddress', message.leaderAddress);
    case 'redirect':
      return checked(message, 'address', message.address);
    case 'serverNews':
      return ok(checkServerNews(message, onMalformedItem));
    default:
      return ok(message);
  }
}
