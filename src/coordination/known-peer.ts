/**
 * Another node as one node knows it, and whether a message comes from the known
 * process of that node, from an earlier one or from one that has replaced it.
 */
import type {NodeInfo, PeerIdentity} from '../protocol/peer-messages.js';
import type {BeaconPeer} from './peer-beacons.js';

/** Identifies one process of a node. */
export type ProcessName = Pick<PeerIdentity, 'nodeId' | 'incarnation'>;

/** State kept of another node. */
export interface Peer extends BeaconPeer {
  name: PeerIdentity;
  /** Incarnation of the process that this one replaced. */
  readonly endedIncarnation: number | undefined;
  info: NodeInfo | undefined;
  /** Time of the last message from it, in milliseconds. */
  lastHeardAt: number;
  isExchanging: boolean;
  /** Time of the last call or introduction request to it, in milliseconds. */
  lastRequestAt: number;
  /** Number of failed exchanges since the last message from it. */
  failures: number;
  /**
   * Whether a process with a lower incarnation sent a message. It may have
   * replaced this one, which shows once this one has been silent.
   */
  hasOtherProcess: boolean;
}

/**
 * Silence of a process after which one with a lower incarnation replaces it:
 * incarnations follow the time of day, which may be set back before a restart.
 */
export const REPLACEMENT_SILENCE_MS = 1000;
/** Intervals without a datagram after which a node is contacted by a call. */
const MAX_SILENT_INTERVALS = 2.8;
/** Time for a listed node to answer before it counts as silent. */
const MAX_UNKNOWN_SILENCE_MS = 1000;

/** Maximum backoff between two exchanges with a node that does not reply. */
const MAX_EXCHANGE_PAUSE_MS = 2000;
const MIN_EXCHANGE_PAUSE_MS = 250;
/** Minimum silence after which a node is removed; the store still lists it. */
const MIN_REMOVAL_MS = 20_000;
/** The same in datagram intervals, for large clusters. */
const REMOVAL_INTERVALS = 12;
/** Silence after which a leaving node is removed. */
const LEAVING_REMOVAL_MS = 3000;
/** Maximum silence of the nodes that are named to others. */
const MAX_SHARED_SILENCE_MS = 1400;

/** Creates the state of a node's process that replaces a known one. */
export function createPeer(
  {nodeId, incarnation, peerAddress}: PeerIdentity,
  known: Peer | undefined,
): Peer {
  return {
    name: {nodeId, incarnation, peerAddress},
    endedIncarnation: known?.name.incarnation,
    info: undefined,
    lastHeardAt: performance.now(),
    isExchanging: false,
    lastRequestAt: -Infinity,
    failures: 0,
    hasOtherProcess: false,
    lastIntroductionAt: -Infinity,
    lastSentAt: -Infinity,
    subscribedUntil: -Infinity,
  };
}

/** Whether a process is later than the known one by its incarnation. */
export function isNewerProcess(
  known: Peer | undefined,
  {incarnation}: ProcessName,
): boolean {
  if (!known) return true;
  const isEnded = known.endedIncarnation === incarnation;
  return known.name.incarnation < incarnation && !isEnded;
}

/** Whether a node's message is from a process after the known one. */
export function isReplacement(peer: Peer, process: ProcessName): boolean {
  if (isNewerProcess(peer, process)) return true;
  const {incarnation} = process;
  // Until a node has described itself, its incarnation is what others say.
  if (!peer.info) return incarnation !== peer.name.incarnation;
  const isKnown =
    incarnation === peer.name.incarnation ||
    incarnation === peer.endedIncarnation;
  const silentMs = performance.now() - peer.lastHeardAt;
  return !isKnown && silentMs > REPLACEMENT_SILENCE_MS;
}

/**
 * Whether a node is overdue.
 *
 * @param intervalMs longest interval between its datagrams in milliseconds.
 * @param now time on the clock of `performance.now()`.
 */
export function isSilent(peer: Peer, intervalMs: number, now: number): boolean {
  const maxSilentMs = peer.info
    ? MAX_SILENT_INTERVALS * intervalMs
    : MAX_UNKNOWN_SILENCE_MS;
  return now - peer.lastHeardAt >= maxSilentMs;
}

/** Whether others are told of a node; dead ones would be named forever. */
export function isShareable({info, lastHeardAt}: Peer, now: number): boolean {
  return info !== undefined && now - lastHeardAt < MAX_SHARED_SILENCE_MS;
}

/** Returns the time between two exchanges with a silent node, in ms. */
export function computeExchangePause({failures}: Peer): number {
  const pauseMs = MIN_EXCHANGE_PAUSE_MS * 2 ** Math.min(failures, 4);
  return Math.min(MAX_EXCHANGE_PAUSE_MS, pauseMs);
}

/** Returns the silence after which a node is removed, in milliseconds. */
export function computeRemovalTime({info}: Peer, intervalMs: number): number {
  if (info?.isLeaving) return LEAVING_REMOVAL_MS;
  return Math.max(MIN_REMOVAL_MS, REMOVAL_INTERVALS * intervalMs);
}
