/**
 * Which epochs of a service's home lists still matter. The homes of an ended
 * epoch must be asked about a key until no resend of a key that they may have
 * run can come any more. The time is counted from when this node, or a node
 * that told it so, learned of the end. That is later than the end itself, so
 * it errs towards asking, and no two clocks are ever compared.
 */
import type {Profile} from '../protocol/configuration.js';
import type {KeyHome} from '../protocol/records.js';
import type {HomeList} from '../state/folded-state.js';
import type {ClaimLimits} from '../state/key-claims.js';
import type {StateStore} from '../state/state-store.js';
import {chooseHome} from './home-choice.js';

/** The part of the state store that key homes use. */
export type HomeState = Pick<
  StateStore,
  'listHomeLists' | 'findProfile' | 'computeLogAgeMs'
>;

/** An earlier home of a key. */
export interface EarlierHome {
  readonly home: KeyHome;
  /** Newest epoch under which it was the key's home. */
  readonly epoch: number;
}

/**
 * Time for which a key may matter: a home without word of the log takes keys
 * for the freshness limit, callers resend for the key's lifetime after that,
 * and the last resend may be handled until its own time limit.
 */
export function computeKeyWindowMs(profile: Profile): number {
  const {keyLifetime, freshnessLimit} = profile.idempotency;
  return keyLifetime + freshnessLimit + profile.maxTimeLimit;
}

/** Bounds of the memory of a service's keys. */
export function computeClaimLimits(profile: Profile): ClaimLimits {
  return {
    lifetimeMs: computeKeyWindowMs(profile),
    maxKeys: profile.idempotency.maxKeys,
  };
}

/** Epochs of all services as one node has learned of them. */
export class HomeEpochs {
  /** When this node first saw each epoch ended, by service. */
  private readonly endsSeenAt = new Map<string, Map<number, number>>();
  /** Epochs below it are known to be closed, by service. */
  private readonly firstOpenEpochs = new Map<string, number>();

  constructor(
    private readonly state: HomeState,
    private readonly readClock = () => performance.now(),
  ) {}

  /** The newest list of a service that this node knows. */
  findNewest(service: string): HomeList | undefined {
    return this.state.listHomeLists(service).at(-1);
  }

  /** Finds the home of a key under the newest list. */
  findHome(service: string, key: string): KeyHome | undefined {
    const newest = this.findNewest(service);
    return newest && chooseHome(newest.homes, service, key);
  }

  /** Notes which epochs have ended; calling it often makes windows shorter. */
  observe(service: string): void {
    const lists = this.state.listHomeLists(service);
    let seen = this.endsSeenAt.get(service);
    if (!seen) {
      seen = new Map();
      this.endsSeenAt.set(service, seen);
    }
    const now = this.readClock();
    for (const {epoch} of lists.slice(0, -1)) {
      if (!seen.has(epoch)) seen.set(epoch, now);
    }
  }

  /** First epoch whose homes must still be asked. */
  computeFirstOpenEpoch(service: string): number {
    this.observe(service);
    const profile = this.state.findProfile(service);
    let first = this.firstOpenEpochs.get(service) ?? 0;
    if (!profile) return first;
    const closedBefore = this.readClock() - computeKeyWindowMs(profile);
    const seen = this.endsSeenAt.get(service)!;
    for (const [epoch, at] of seen) {
      if (at < closedBefore) first = Math.max(first, epoch + 1);
    }
    this.recordFirstOpenEpoch(service, first);
    return first;
  }

  /** Takes over another node's knowledge of which epochs are closed. */
  recordFirstOpenEpoch(service: string, epoch: number): void {
    const known = this.firstOpenEpochs.get(service) ?? 0;
    this.firstOpenEpochs.set(service, Math.max(known, epoch));
  }

  /**
   * Earlier homes of a key that the home at `epoch` must seal. A home that
   * handed its keys over counts as sealed: the list that says so is later and
   * its own home of the key is asked instead.
   */
  listEarlierHomes(
    service: string,
    key: string,
    epoch: number,
  ): readonly EarlierHome[] {
    const firstOpen = this.computeFirstOpenEpoch(service);
    const lists = this.state
      .listHomeLists(service)
      .filter(list => list.epoch <= epoch);
    const earlier = new Map<string, EarlierHome>();
    for (const list of lists) {
      if (list.epoch < firstOpen || list.epoch === epoch) continue;
      const home = chooseHome(list.homes, service, key);
      if (!home || isHandedOver(home, list.epoch, lists)) continue;
      const name = `${home.nodeId}#${home.incarnation}`;
      earlier.set(name, {home, epoch: list.epoch});
    }
    return [...earlier.values()];
  }
}

/** Whether two entries of lists name the same process. */
export function isSameHome(
  first: Pick<KeyHome, 'nodeId' | 'incarnation'>,
  second: Pick<KeyHome, 'nodeId' | 'incarnation'>,
): boolean {
  return (
    first.nodeId === second.nodeId && first.incarnation === second.incarnation
  );
}

function isHandedOver(
  home: KeyHome,
  epoch: number,
  lists: readonly HomeList[],
): boolean {
  return lists.some(
    list =>
      list.epoch > epoch &&
      list.handedOver.some(leaver => isSameHome(leaver, home)),
  );
}
